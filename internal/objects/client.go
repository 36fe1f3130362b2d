package objects

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tidwall/gjson"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/jsonlist"
)

// Limits of one call.
const (
	callTimeout = 5 * time.Second
	maxResponse = 64 << 20
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Address is the platform's host:port.
	Address string
	// HTTP sends the calls. Its transport must never retry a write.
	HTTP *http.Client
}

// Client calls the object API over HTTP with JSON.
type Client struct {
	base string
	http *http.Client
}

var _ API = (*Client)(nil)

// NewClient returns a Client for the platform at cfg.Address.
func NewClient(cfg ClientConfig) *Client {
	return &Client{base: "http://" + cfg.Address, http: cfg.HTTP}
}

// Get implements API.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var o Object
	err := c.call(ctx, http.MethodGet, objectPath(kind, name), nil, 0, &o)
	return o, err
}

// List implements API.
func (c *Client) List(ctx context.Context, kinds []string, after string) (Changes, error) {
	q := url.Values{"kinds": {strings.Join(kinds, ",")}, "after": {after}}
	var body changesBody
	err := c.call(ctx, http.MethodGet, "/objects?"+q.Encode(), nil, 0, &body)
	return body.Changes, err
}

// IsAuthoritative returns true: the objects come from the platform itself and not from another box.
func (c *Client) IsAuthoritative() bool { return true }

// Watch implements API.
func (c *Client) Watch(ctx context.Context, kinds []string, from Position, wait time.Duration) (Changes, error) {
	q := url.Values{"kinds": {strings.Join(kinds, ",")}, "from": {formatPosition(from)}, "wait": {wait.String()}}
	var body changesBody
	err := c.call(ctx, http.MethodGet, "/watch?"+q.Encode(), nil, wait, &body)
	return body.Changes, err
}

// Put implements API.
func (c *Client) Put(ctx context.Context, kind, name string, expect Position, value json.RawMessage) (Position, error) {
	var o Object
	err := c.call(ctx, http.MethodPut, objectPath(kind, name)+"?expect="+formatPosition(expect), value, 0, &o)
	return o.Version, err
}

// Delete implements API.
func (c *Client) Delete(ctx context.Context, kind, name string, expect Position) error {
	return c.call(ctx, http.MethodDelete, objectPath(kind, name)+"?expect="+formatPosition(expect), nil, 0, nil)
}

// Boxes implements API.
func (c *Client) Boxes(ctx context.Context) ([]Box, error) {
	var boxes []Box
	err := c.call(ctx, http.MethodGet, "/boxes", nil, 0, &boxes)
	return boxes, err
}

// formatPosition returns a position in its JSON form, a decimal number.
func formatPosition(p Position) string { return strconv.FormatInt(int64(p), 10) }

func objectPath(kind, name string) string {
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, wait time.Duration, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "objects: create request failed")
	}
	// Without GetBody the transport cannot send the body a second time.
	req.GetBody = nil
	traced := httpx.NewSendTrace(req)
	resp, err := c.http.Do(traced.Request)
	if err != nil {
		return NewTransportError(method, traced.MayHaveSent(), err)
	}
	defer httpx.Drain(resp.Body)
	if err := StatusError(resp.StatusCode); err != nil {
		return err
	}
	if result == nil {
		return nil
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	if err != nil {
		return NewTransportError(method, true, err)
	}
	decode := func(b []byte) error { return json.Unmarshal(b, result) }
	if body, ok := result.(*changesBody); ok {
		decode = body.decode
	}
	if err := decode(b); err != nil {
		return NewTransportError(method, true, err)
	}
	return nil
}

// changesBody is the body of a response with Changes.
type changesBody struct{ Changes }

// decode decodes the body. Objects that cannot be decoded, which another program may have written, are listed without a value if they
// have a kind and a name, so that they do not count as deleted.
func (c *changesBody) decode(b []byte) error {
	elements, err := jsonlist.Decode(b, "objects", &c.Changes)
	if err != nil {
		return err
	}
	unreadable := 0
	for _, raw := range elements {
		var o Object
		if jsonlist.IsTooDeep(raw) || json.Unmarshal(raw, &o) != nil {
			unreadable++
			o = Object{
				Kind: gjson.GetBytes(raw, "kind").String(), Name: gjson.GetBytes(raw, "name").String(), Version: Position(gjson.GetBytes(raw, "version").Int()),
			}
		}
		if o.Kind != "" && o.Name != "" {
			c.Objects = append(c.Objects, o)
		}
	}
	if unreadable > 0 {
		klog.InfoS("objects of a response could not be decoded", "unreadable", unreadable, "of", len(elements))
	}
	return nil
}

// NewTransportError returns the error for a call without a usable response: ErrOutcomeUnknown for a write that was sent,
// ErrUnavailable for any other call.
func NewTransportError(method string, sent bool, err error) error {
	if method != http.MethodGet && sent {
		return eris.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return eris.Wrap(ErrUnavailable, err.Error())
}

// StatusError returns the error for a response's HTTP status, or nil if the call succeeded.
func StatusError(status int) error {
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusConflict:
		return ErrConflict
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusGone:
		return ErrGone
	default:
		return eris.Wrapf(ErrUnavailable, "response has status %d", status)
	}
}
