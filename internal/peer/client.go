// Package peer implements the control protocol between boxes: JSON over HTTP for heartbeats, object lists and changes, and load
// permits.
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
	PathBeat        = "/peer/beat"
	PathBatch       = "/peer/beats"
	PathList        = "/peer/list"
	PathChanges     = "/peer/changes"
	PathPermit      = "/peer/permit"
	PathRelease     = "/peer/release"
	PathLostObjects = "/peer/lost"
)

// Limits of a call: its duration, apart from the wait that the caller requests, and the sizes of a message and of an error in bytes.
const (
	callTimeout     = 2 * time.Second
	maxMessageBytes = 64 << 20
	maxErrorBytes   = 64 << 10
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

// LostObjects returns the objects that the box at address holds and that the platform has lost.
func (c *Client) LostObjects(ctx context.Context, address string) ([]objects.Object, error) {
	var lost []objects.Object
	err := c.call(ctx, address, PathLostObjects, callTimeout, struct{}{}, &lost)
	return lost, err
}

// PermitRequest requests a load permit from the scheduler.
type PermitRequest struct {
	Need loads.Request `json:"need"`
	// Wait is the maximum time that the caller waits for the permit.
	Wait time.Duration `json:"wait"`
}

// PermitResponse carries the ID of a granted permit, which is needed to release it.
type PermitResponse struct {
	ID string `json:"id"`
}

// PermitRelease releases a permit.
type PermitRelease struct {
	ID string `json:"id"`
	// Used is true if the permit was used for a load.
	Used bool `json:"used"`
}

var _ loads.Remote = (*Client)(nil)

// AcquirePermit implements loads.Remote.
func (c *Client) AcquirePermit(ctx context.Context, address string, req loads.Request) (loads.Permit, error) {
	wait := maxClientWait
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, clock.Until(deadline))
	}
	var granted PermitResponse
	if err := c.call(ctx, address, PathPermit, wait+callTimeout, PermitRequest{req, wait}, &granted); err != nil {
		return nil, err
	}
	var once sync.Once
	return func(used bool) {
		once.Do(func() {
			// An error is ignored, since the scheduler releases a permit by itself after loads.MaxPermitHold.
			_ = c.call(context.WithoutCancel(ctx), address, PathRelease, callTimeout, PermitRelease{granted.ID, used}, &struct{}{})
		})
	}, nil
}

// Source returns a feed source that reads the objects and changes known to the box at address.
func (c *Client) Source(address string) feed.Source { return source{c, address} }

type source struct {
	client  *Client
	address string
}

// List implements feed.Source. The list of another box is always a single page.
func (s source) List(ctx context.Context, _ []string, _ string) (objects.Changes, error) {
	var list objects.Changes
	err := s.client.call(ctx, s.address, PathList, callTimeout, struct{}{}, &list)
	return list, err
}

// IsAuthoritative implements feed.Source. It returns false, since the data of another box may be outdated.
func (s source) IsAuthoritative() bool { return false }

// Watch implements feed.Source.
func (s source) Watch(ctx context.Context, _ []string, from objects.Position, wait time.Duration) (objects.Changes, error) {
	var changes objects.Changes
	path := PathChanges + "?from=" + strconv.FormatInt(int64(from), 10) + "&wait=" + wait.String()
	err := s.client.call(ctx, s.address, path, wait+callTimeout, struct{}{}, &changes)
	return changes, err
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
		return eris.Wrap(err, "peer: create request failed")
	}
	req.Header.Set("Accept-Encoding", encodingGzip)
	if encoding != "" {
		req.Header.Set("Content-Encoding", encoding)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return eris.Wrap(err, "peer: call failed")
	}
	defer httpx.Drain(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK:
		return decode(resp.Body, resp.Header.Get("Content-Encoding"), maxMessageBytes, out)
	case http.StatusGone:
		return objects.ErrGone
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		return eris.Wrap(err, "peer: read response body failed")
	}
	if e, ok := result.Decode(b); ok {
		return e
	}
	return eris.Errorf("peer: unexpected response status %d", resp.StatusCode)
}
