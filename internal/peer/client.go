// Package peer is the control protocol between boxes: heartbeats and changes, as HTTP with JSON.
package peer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/feed"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/loads"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/result"
)

// Paths of the protocol.
const (
	PathBeat    = "/peer/beat"
	PathBatch   = "/peer/beats"
	PathList    = "/peer/list"
	PathChanges = "/peer/changes"
	PathPermit  = "/peer/permit"
	PathRelease = "/peer/release"
	PathLost    = "/peer/lost"
)

// Limits of a call.
const (
	callTimeout = 2 * time.Second
	maxMessage  = 64 << 20
)

// Client calls other boxes.
type Client struct {
	http *http.Client
}

// ClientConfig configures a Client.
type ClientConfig struct {
	HTTP *http.Client
}

// NewClient returns a Client.
func NewClient(cfg ClientConfig) *Client { return &Client{http: cfg.HTTP} }

// Beat sends a heartbeat.
func (c *Client) Beat(ctx context.Context, address string, b coordinator.Beat) (coordinator.Reply, error) {
	var r coordinator.Reply
	err := c.call(ctx, address, PathBeat, callTimeout, b, &r)
	return r, err
}

// BeatBatch sends heartbeats of several boxes.
func (c *Client) BeatBatch(ctx context.Context, address string, b coordinator.Batch) (coordinator.BatchReply, error) {
	var r coordinator.BatchReply
	err := c.call(ctx, address, PathBatch, callTimeout, b, &r)
	return r, err
}

// Lost returns what the box at address holds and the platform has lost.
func (c *Client) Lost(ctx context.Context, address string) ([]objects.Object, error) {
	var lost []objects.Object
	err := c.call(ctx, address, PathLost, callTimeout, struct{}{}, &lost)
	return lost, err
}

// PermitAsk asks the scheduler for a load.
type PermitAsk struct {
	Need loads.Need `json:"need"`
	// Wait is how long the asker waits.
	Wait time.Duration `json:"wait"`
}

// PermitGiven names a permit, to give it back.
type PermitGiven struct {
	ID string `json:"id"`
}

// PermitBack gives a permit back.
type PermitBack struct {
	ID string `json:"id"`
	// Used says that the permit was used for a load.
	Used bool `json:"used"`
}

var _ loads.Remote = (*Client)(nil)

// AcquirePermit implements loads.Remote.
func (c *Client) AcquirePermit(ctx context.Context, address string, n loads.Need) (loads.Permit, error) {
	wait := maxWait
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, clock.Until(deadline))
	}
	var given PermitGiven
	if err := c.call(ctx, address, PathPermit, wait+callTimeout, PermitAsk{n, wait}, &given); err != nil {
		return nil, err
	}
	var once sync.Once
	return func(used bool) {
		once.Do(func() {
			// A permit that cannot be given back runs out by itself.
			_ = c.call(context.WithoutCancel(ctx), address, PathRelease, callTimeout, PermitBack{given.ID, used}, &struct{}{})
		})
	}, nil
}

// Source returns the changes known to the box at address as a feed source.
func (c *Client) Source(address string) feed.Source { return source{c, address} }

type source struct {
	client  *Client
	address string
}

// List implements feed.Source; another box's list is one page.
func (s source) List(ctx context.Context, _ []string, _ string) (objects.Changes, error) {
	var ch objects.Changes
	err := s.client.call(ctx, s.address, PathList, callTimeout, struct{}{}, &ch)
	return ch, err
}

// Authoritative implements feed.Source.
func (s source) Authoritative() bool { return false }

// Watch implements feed.Source.
func (s source) Watch(ctx context.Context, _ []string, from objects.Position, wait time.Duration) (objects.Changes, error) {
	var ch objects.Changes
	path := PathChanges + "?from=" + strconv.FormatInt(int64(from), 10) + "&wait=" + wait.String()
	err := s.client.call(ctx, s.address, path, wait+callTimeout, struct{}{}, &ch)
	return ch, err
}

func (c *Client) call(ctx context.Context, address, path string, timeout time.Duration, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, encoding, err := encode(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "peer: request")
	}
	req.Header.Set("Accept-Encoding", encodingGzip)
	if encoding != "" {
		req.Header.Set("Content-Encoding", encoding)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return eris.Wrap(err, "peer: call")
	}
	defer httpx.Drain(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK:
		return decode(resp.Body, resp.Header.Get("Content-Encoding"), maxMessage, out)
	case http.StatusGone:
		return objects.ErrGone
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxMessage))
	if err != nil {
		return eris.Wrap(err, "peer: answer")
	}
	if e, ok := result.Decode(b); ok {
		return e
	}
	return eris.Errorf("peer: status %d", resp.StatusCode)
}
