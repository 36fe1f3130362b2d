package pairing

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/httpx"
)

const (
	// readBuffer is the size in bytes of the buffer that heads and chunks are read through.
	readBuffer = 2 << 10
	// maxHeadBytes limits a head, and the trailer of a chunked answer. It is the limit of the transports.
	maxHeadBytes = 32 << 10
)

var (
	// ErrSurplus is the error of a connection on which more surplus bytes came than the configured limit.
	ErrSurplus = errors.New("pairing: too many bytes of answers to other requests")
	// ErrMergedHead is the error of a connection on which a head came that is not proved to be of one answer.
	ErrMergedHead = errors.New("pairing: head of more than one answer")
	// errUnsolicited is the error of a connection on which bytes came that are no answer with an id while no request was in flight.
	errUnsolicited = errors.New("pairing: bytes without a request in flight")
)

// conn is a connection to an endpoint. One goroutine reads from it; begin is called by others.
type conn struct {
	net.Conn
	pairing *Pairing
	// transport is the one that opened the connection.
	transport *transport
	// address is that of the endpoint, also if the connection leads through another box.
	address string
	in      *bufio.Reader
	// received counts the bytes that have been read from the endpoint.
	received atomic.Int64
	// head is the buffer of the last head. pending is what has been read and is to be returned next.
	head    []byte
	pending []byte
	// body is the rest of the answer that is being passed on, nil if there is none.
	body body
	// isRaw is set if all further bytes are passed on as they are.
	isRaw bool
	// isFinal is set while the answer that is passed on is no interim one.
	isFinal bool
	// surplusBytes counts the bytes of surplus answers since the last answer that was due.
	surplusBytes int64

	mu sync.Mutex
	// last is the last request sent over the connection, isOpen is set until its answer has been passed on.
	last   exchange
	isOpen bool
	// carried holds the ids of all requests sent over the connection.
	carried carriedIDs
	// isClosed is set once this side has closed the connection.
	isClosed bool
}

func newConn(p *Pairing, t *transport, address string, c net.Conn) *conn {
	paired := &conn{Conn: c, pairing: p, transport: t, address: address}
	paired.in = bufio.NewReaderSize(receiver{paired}, readBuffer)
	return paired
}

// receiver reads the bytes of a connection as the endpoint sends them, and counts them.
type receiver struct{ conn *conn }

// Read implements io.Reader.
func (r receiver) Read(p []byte) (int, error) {
	n, err := r.conn.Conn.Read(p)
	r.conn.received.Add(int64(n))
	return n, err
}

// NetConn returns the connection to the endpoint, or to the box that leads to it.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	c.isClosed = true
	c.mu.Unlock()
	c.pairing.remove(c)
	return c.Conn.Close()
}

// recordIfEnded records that the endpoint's side ended the connection. The end of an answer that ends with its connection does not count, nor
// does a connection that this side is about to close because of what the endpoint sent.
func (c *conn) recordIfEnded(err error) {
	c.mu.Lock()
	isOwnEnd := c.isClosed || errors.Is(err, ErrMergedHead) || errors.Is(err, errUnsolicited) || errors.Is(err, ErrSurplus) || httpx.IsInvalidHead(err)
	isEnded := !isOwnEnd && (!c.isRaw || !errors.Is(err, io.EOF))
	c.mu.Unlock()
	if isEnded {
		c.pairing.recordEnd(c.address)
	}
}

// begin records a request that is about to be sent.
func (c *conn) begin(e exchange) {
	if c.recordExchange(e) {
		c.pairing.recordCarriedAgain(e)
	}
}

// recordExchange records a request and reports whether the connection has carried its id before.
func (c *conn) recordExchange(e exchange) (wasCarried bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.receivedBefore = c.received.Load()
	c.last, c.isOpen = e, true
	return e.id != "" && c.carried.add(e.id)
}

// hasCarried reports whether a request with the given id was sent over the connection.
func (c *conn) hasCarried(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.carried.has(id)
}

// isFull reports whether the connection has carried as many requests as it may.
func (c *conn) isFull() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.carried.len() >= c.pairing.cfg.MaxRequests
}

// end records that the answer to the request in flight has been passed on.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isOpen = false
}

// current returns the last request, and whether it waits for its answer.
func (c *conn) current() (e exchange, isOpen bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last, c.isOpen
}

// Read implements net.Conn. It returns the bytes of the answers that belong to the requests.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.readPaired(p)
	if err != nil {
		c.recordIfEnded(err)
	}
	if errors.Is(err, httpx.ErrUploadFailed) {
		request, _ := c.current()
		c.pairing.recordCut(request, err)
	}
	return n, err
}

func (c *conn) readPaired(p []byte) (int, error) {
	for len(p) > 0 {
		switch {
		case len(c.pending) > 0:
			n := copy(p, c.pending)
			if c.pending = c.pending[n:]; len(c.pending) == 0 {
				c.endIfComplete()
			}
			return n, nil
		case c.isRaw:
			return c.in.Read(p)
		case c.body != nil:
			n, err := c.body.Read(p)
			c.endIfComplete()
			if n > 0 || err != nil {
				return n, err
			}
		default:
			if err := c.readHead(); err != nil {
				return 0, err
			}
		}
	}
	return 0, nil
}

// endIfComplete ends the exchange if the whole answer has been passed on.
func (c *conn) endIfComplete() {
	if c.isRaw || (c.body != nil && !c.body.isComplete()) {
		return
	}
	c.body = nil
	if c.isFinal {
		c.isFinal, c.surplusBytes = false, 0
		c.end()
	}
}

// readHead reads the head of the next answer. If the answer is due, it prepares it to be passed on, otherwise it drops it.
func (c *conn) readHead() error {
	start := c.received.Load() - int64(c.in.Buffered())
	head, err := readLines(c.in, c.head[:0])
	c.head = head[:0]
	if len(head) == 0 && err != nil {
		return err
	}
	request, isOpen := c.current()
	if err != nil {
		return c.passRaw(head, request, isOpen)
	}
	due, err := c.proveHead(answerHead{head, start}, request, isOpen)
	if err != nil {
		return err
	}
	head = due.bytes
	resp, err := parseHead(head, request.method)
	if err != nil {
		return c.passRaw(head, request, isOpen)
	}
	// What began before the request was sent is no answer to it.
	isOpen = isOpen && due.start >= request.receivedBefore
	answerID := c.pairing.cfg.ID(resp.Header)
	if answerID != "" && (!isOpen || answerID != request.id) {
		return c.drop(resp, head, surplus{endpoint: request.endpoint, requestID: request.id, answerID: answerID, status: resp.StatusCode, isIdle: !isOpen})
	}
	if !isOpen {
		return c.passRaw(head, request, isOpen)
	}
	if !httpx.IsInterim(resp.StatusCode) {
		if err := httpx.CheckHead(resp); err != nil {
			c.pairing.recordInvalidHead(request, err)
			return err
		}
	}
	c.pending, c.isFinal = head, resp.StatusCode >= http.StatusOK
	isUnnamed := c.isFinal && answerID == "" && request.id != "" && c.pairing.cfg.IsIDReturned
	if isUnnamed {
		c.pairing.cfg.Scope.Counter("answers_without_id").Inc(1)
	}
	isFull := c.isFinal && c.isFull()
	if isFull {
		c.pairing.cfg.Scope.Counter("full_connections_closed").Inc(1)
		klog.V(1).InfoS("connection closed, it has carried as many requests as it may", "endpoint", request.endpoint, "requests", c.pairing.cfg.MaxRequests)
	}
	if isUnnamed || isFull || c.isFinal && httpx.IsRetired(c.Conn) {
		c.pending = withClose(head)
	}
	c.body, c.isRaw = c.bodyOf(resp)
	return nil
}

// withClose returns a head with a field that makes the transport close the connection after the answer. The transport may give the connection to
// the next request before the caller sees the answer, so the caller cannot close it in time.
func withClose(head []byte) []byte {
	fields := bytes.TrimRight(head, "\r\n")
	return append(bytes.Clone(fields), "\r\nConnection: close\r\n\r\n"...)
}

// passRaw passes on all further bytes as they are. Without a request in flight they belong to none, and the connection must not be used
// again.
func (c *conn) passRaw(head []byte, request exchange, isOpen bool) error {
	if !isOpen {
		return c.closeUnsolicited(len(head), request)
	}
	c.pending, c.isRaw = head, true
	return nil
}

// bodyOf returns the body of an answer whose head has been read, nil if it has none. isRaw is set if the body ends with the connection.
func (c *conn) bodyOf(resp *http.Response) (b body, isRaw bool) {
	switch {
	case resp.Body == http.NoBody:
		return nil, false
	case len(resp.TransferEncoding) > 0:
		return newChunkedBody(c.in), false
	case resp.ContentLength >= 0:
		return &sizedBody{c.in, resp.ContentLength}, false
	default:
		return nil, true
	}
}

// drop reads the rest of a surplus answer and records the answer.
func (c *conn) drop(resp *http.Response, head []byte, s surplus) error {
	if resp.Request.Method == http.MethodHead {
		// The method of the other request is not known. Answers to HEAD are rare.
		other, err := parseHead(head, http.MethodGet)
		if err != nil {
			return err
		}
		resp = other
	}
	before := c.surplusBytes
	c.surplusBytes += int64(len(head))
	err := c.discard(resp)
	s.bytes = c.surplusBytes - before
	c.pairing.record(s)
	if errors.Is(err, ErrSurplus) {
		c.pairing.cfg.Scope.Counter("surplus_connections_closed").Inc(1)
		klog.InfoS("connection closed, too many bytes of answers to other requests", "endpoint", s.endpoint, "request", s.requestID, "bytes", c.surplusBytes)
	}
	return err
}

// discard reads the rest of a surplus answer.
func (c *conn) discard(resp *http.Response) error {
	b, isRaw := c.bodyOf(resp)
	var buffer []byte
	if b != nil || isRaw {
		buffer = make([]byte, readBuffer)
	}
	for {
		if c.surplusBytes > c.pairing.cfg.MaxSurplusBytes {
			return ErrSurplus
		}
		var n int
		var err error
		switch {
		case isRaw:
			n, err = c.in.Read(buffer)
		case b == nil || b.isComplete():
			return nil
		default:
			n, err = b.Read(buffer)
		}
		c.surplusBytes += int64(n)
		if err != nil {
			return err
		}
	}
}

// headReaders holds readers for parseHead.
var headReaders = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// parseHead parses the head of an answer to a request with the given method. It reads none of the body.
func parseHead(head []byte, method string) (*http.Response, error) {
	in, ok := headReaders.Get().(*bufio.Reader)
	if !ok {
		return nil, errors.New("pairing: no reader")
	}
	defer headReaders.Put(in)
	in.Reset(bytes.NewReader(head))
	resp, err := http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		return nil, fmt.Errorf("pairing: read head of an answer: %w", err)
	}
	return resp, nil
}

// readLines appends lines up to and including an empty one to lines. An error after the first byte comes with what has been read.
func readLines(in *bufio.Reader, lines []byte) ([]byte, error) {
	for isLineStart := true; ; {
		part, err := in.ReadSlice('\n')
		lines = append(lines, part...)
		isWhole := err == nil
		if errors.Is(err, bufio.ErrBufferFull) {
			err = nil
		}
		if err != nil {
			return lines, err
		}
		if isLineStart && isWhole && len(bytes.TrimRight(part, "\r\n")) == 0 {
			return lines, nil
		}
		if len(lines) > maxHeadBytes {
			return lines, fmt.Errorf("pairing: more than %d bytes of header lines", maxHeadBytes)
		}
		isLineStart = isWhole
	}
}

// body is the body of an answer as it is passed on.
type body interface {
	io.Reader
	// isComplete reports whether the whole body has been read.
	isComplete() bool
}

// sizedBody is a body whose length in bytes is known.
type sizedBody struct {
	in   *bufio.Reader
	left int64
}

// Read implements io.Reader.
func (b *sizedBody) Read(p []byte) (int, error) {
	n, err := b.in.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}

func (b *sizedBody) isComplete() bool { return b.left == 0 }

// chunkedBody is a body in chunks. What arrives of a chunk is passed on at once, as a chunk of its own.
type chunkedBody struct {
	in     *bufio.Reader
	data   io.Reader
	buffer []byte
	// framed holds the last part with its frame, pending is what of it has not been read yet.
	framed  []byte
	pending []byte
	isEnded bool
}

func newChunkedBody(in *bufio.Reader) *chunkedBody {
	return &chunkedBody{in: in, data: httputil.NewChunkedReader(in)}
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if len(b.pending) == 0 {
		if err := b.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(p, b.pending)
	b.pending = b.pending[n:]
	return n, nil
}

// fill reads and frames the next part of the body.
func (b *chunkedBody) fill() error {
	if b.buffer == nil {
		b.buffer = make([]byte, readBuffer)
	}
	n, err := b.data.Read(b.buffer)
	if n > 0 {
		b.framed = fmt.Appendf(b.framed[:0], "%x\r\n", n)
		b.framed = append(append(b.framed, b.buffer[:n]...), "\r\n"...)
		b.pending = b.framed
		return nil
	}
	if !errors.Is(err, io.EOF) {
		return err
	}
	trailer, err := readLines(b.in, nil)
	if err != nil {
		return err
	}
	b.pending, b.isEnded = append([]byte("0\r\n"), trailer...), true
	return nil
}

func (b *chunkedBody) isComplete() bool { return b.isEnded && len(b.pending) == 0 }
