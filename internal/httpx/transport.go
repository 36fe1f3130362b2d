package httpx

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// NewClient returns a client with a checked transport for many calls to a small number of hosts.
func NewClient(connsPerHost int) *http.Client {
	return &http.Client{Transport: Checked(NewTransport(connsPerHost))}
}

// Transport is an http.RoundTripper that refuses answers with invalid heads, and does not take answers for whole that were reset while their requests
// were being written.
type Transport struct{ base *http.Transport }

// Checked returns a Transport that sends requests over the connections of t. Its user may change t.DialContext before the first request.
func Checked(t *http.Transport) *Transport {
	t.DialContext = trackDials(t.DialContext)
	return &Transport{t}
}

// SingleUse returns a Transport that uses each connection for only one request.
func (t *Transport) SingleUse() *Transport {
	base := t.base.Clone()
	base.DisableKeepAlives = true
	return &Transport{base}
}

// RoundTrip implements http.RoundTripper. It returns an InvalidHeadError for an answer that fails CheckHead. Reading a body may fail with
// ErrUploadFailed.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	// The base transport may send a request a second time.
	var last atomic.Pointer[sentRequest]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			sent := newSentRequest()
			last.Store(sent)
			if c := findTracked(info.Conn); c != nil {
				c.begin(sent)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if sent := last.Load(); sent != nil {
				sent.end(info.Err)
			}
		},
	}
	resp, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	if sent := last.Load(); sent != nil && EndsWithConnection(resp) {
		sent.endsWithConnection.Store(true)
	}
	return resp, nil
}

// CloseIdleConnections closes the connections that carry no request. http.Client calls it.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
