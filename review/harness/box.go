package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Ports of a box. Each box has a loopback address of its own.
const (
	frontPort     = 8149
	readyPort     = 8141
	directoryPort = 8143
	peerPort      = 7380
	operatorPort  = 7395
)

// box is one entry box, which runs the program of the deploy file.
type box struct {
	name, ip, zone string
	settingsFile   string
	log            *os.File
	cmd            *exec.Cmd
}

// fields returns the settings that the platform knows of the box, by the names of the users' page DEPLOY.md.
func (b *box) fields(storeAddress string) map[string]string {
	return map[string]string{
		"nodeName": b.name, "zone": b.zone, "region": "toowoomba", "ip": b.ip, "platform.address": storeAddress,
		"listen.front": fmt.Sprintf("%s:%d", b.ip, frontPort), "listen.ready": fmt.Sprintf("%s:%d", b.ip, readyPort),
		"listen.directory": fmt.Sprintf("%s:%d", b.ip, directoryPort),
		"internalPorts.0":  fmt.Sprint(peerPort), "internalPorts.1": fmt.Sprint(operatorPort),
		"limits.linkMbps": "1000.0", "limits.memoryMb": "284",
		"bounds.retryBudgetRatio": "0.2", "bounds.retryAllowance": "54", "bounds.configMs": "2000", "bounds.graceS": "8", "bounds.leaseMs": "3000",
	}
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	gapPattern     = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// fillTemplate fills the settings template of the deploy file as the platform does.
func fillTemplate(text string, fields map[string]string) string {
	text = sectionPattern.ReplaceAllStringFunc(text, func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		if fields[parts[1]] == "" {
			return ""
		}
		return parts[2]
	})
	return gapPattern.ReplaceAllStringFunc(text, func(gap string) string { return fields[strings.Trim(gap, "{}")] })
}

// newBox writes the settings of a box.
func newBox(dir, storeAddress, name, ip, zone string) (*box, error) {
	b := &box{name: name, ip: ip, zone: zone, settingsFile: filepath.Join(dir, name+".toml")}
	template, err := os.ReadFile("deploy/box.toml.tmpl")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(b.settingsFile, []byte(fillTemplate(string(template), b.fields(storeAddress))), 0o600); err != nil {
		return nil, err
	}
	b.log, err = os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	return b, err
}

// start starts the process of the box.
func (b *box) start() error {
	b.cmd = exec.Command("target/bellgapd")
	b.cmd.Env = append(os.Environ(), "BELLGAP_BOOT="+b.settingsFile)
	b.cmd.Stdout, b.cmd.Stderr = b.log, b.log
	b.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return b.cmd.Start()
}

// signal sends a signal to the process of the box.
func (b *box) signal(s syscall.Signal) { _ = b.cmd.Process.Signal(s) }

// stop ends the process of the box.
func (b *box) stop() {
	if b.cmd == nil || b.cmd.Process == nil {
		return
	}
	b.signal(syscall.SIGCONT)
	b.signal(syscall.SIGKILL)
	_ = b.cmd.Wait()
}

// isReady reports whether the box answers the platform's readiness check.
func (b *box) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/v1/readiness", b.ip, readyPort), nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
