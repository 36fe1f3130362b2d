package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// client sends requests of callers to the boxes, each request once.
type client struct {
	rec  *record
	http *http.Client
}

func newClient(rec *record) *client {
	return &client{rec: rec, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: 3 * time.Second, DisableCompression: true}}}
}

// answer is what a caller received.
type answer struct {
	status int
	body   string
	seal   string
	err    error
}

// onceBody keeps the transport from sending a request twice.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// call sends one request and reads its answer.
func (c *client) call(ctx context.Context, b *box, method, path, id, body string, deadline time.Duration, headers map[string]string) answer {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", b.ip, frontPort, path), onceBody{strings.NewReader(body)})
	if err != nil {
		return answer{err: err}
	}
	req.ContentLength = int64(len(body))
	if body == "" {
		req.Body = http.NoBody
	}
	req.Host = serviceHost
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	c.rec.add("client sends %s %s %s to %s", method, path, id, b.name)
	resp, err := c.http.Do(req)
	if err != nil {
		c.rec.add("client gets no answer to %s: %v", id, err)
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, body: string(text), seal: resp.Header.Get("Server-Seal"), err: err}
	c.rec.add("client gets %d to %s, code %q, seal %q, error %v", a.status, id, resp.Header.Get("Bellgap-Code"), a.seal, err)
	return a
}

// newID returns the id of a client's attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
