package slowpeer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
)

const (
	// writeChunk is the number of bytes that are written under one deadline. A caller makes progress if it takes this many bytes
	// within the stall timeout.
	writeChunk = 8 << 10
	// firstAnswerBuffer is the first size of the buffer for the start of an answer. Most answers fit.
	firstAnswerBuffer = 4 << 10
	// minAnswerBuffer is how much of an answer is buffered while the limit on held bytes is exceeded. With the whole buffer, 500
	// callers that stopped reading held 29 to 107 MB with a limit of 16 MB, because they had not stalled for minStall yet.
	minAnswerBuffer = 32 << 10
	// copyBuffer is the buffer size of Copy. It is below the 64 KiB that may be held for a caller that does not read.
	copyBuffer = 32 << 10
	// unreadThreshold is the time without progress from which an endpoint may have cut the answer because it was left unread.
	// Endpoints wait at least a few seconds; the margin covers the buffers in between.
	unreadThreshold = time.Second
	// unreadMemory is how long after such a pause a cut is attributed to it. The bytes that the endpoint had sent before its cut are
	// read in this time.
	unreadMemory = 5 * time.Second
)

// Errors of stalled transfers.
var (
	// ErrCallerNotReading is the error of a write to a caller that does not read its answer.
	ErrCallerNotReading = errors.New("slowpeer: the caller does not read its answer")
	// ErrEndpointNotReading is the error of a request whose body the endpoint does not read.
	ErrEndpointNotReading = errors.New("slowpeer: the endpoint does not read the request body")
)

// step is what the box waits for.
type step int

const (
	stepNone step = iota
	stepBody
	stepSend
	stepAnswer
)

// String returns the description of the step for operators.
func (s step) String() string {
	return [...]string{"none", "caller_sends_body", "endpoint_reads_body", "caller_reads_answer"}[s]
}

// Caller is the caller of one request. It is the http.ResponseWriter of the answer: each write has a deadline that moves with the
// progress of the caller.
type Caller struct {
	http.ResponseWriter
	tracker *Tracker
	control *http.ResponseController

	// mu guards the fields below.
	mu              sync.Mutex
	customer, route string
	// bodyHeld, answerHeld and writeHeld are the bytes held of the request body, of the part of the answer that is read before the
	// first write, and of the current write.
	bodyHeld, answerHeld, writeHeld int64
	step                            step
	progressAt                      time.Time
	// ended is the step in which the tracker ended the transfer, stepNone if it did not.
	ended  step
	closed bool
	// writeFailed is set once a write or flush has failed.
	writeFailed bool
	// cancelSend cancels the request to the endpoint.
	cancelSend context.CancelCauseFunc
	// unreadAt is the end of the last pause of at least unreadThreshold in the answer.
	unreadAt time.Time
}

// Close ends the tracking. If no write has failed, it allows the caller another stall timeout for what the server writes after the
// handler: the last write may be longer ago than that.
func (c *Caller) Close() {
	c.tracker.remove(c)
	c.mu.Lock()
	if !c.writeFailed && c.ended != stepAnswer {
		c.extendDeadline()
	}
	held := c.heldLocked()
	c.bodyHeld, c.answerHeld, c.writeHeld, c.closed = 0, 0, 0, true
	c.mu.Unlock()
	c.tracker.addHeld(-held)
}

// Describe sets the customer and the route that logs and the status name.
func (c *Caller) Describe(customer, route string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.customer, c.route = customer, route
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (c *Caller) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// heldLocked returns the bytes held for the caller. The caller of heldLocked holds mu.
func (c *Caller) heldLocked() int64 { return c.bodyHeld + c.answerHeld + c.writeHeld }

// extendDeadline allows the caller another stall timeout. Connections without deadlines, as in tests, are not bounded.
func (c *Caller) extendDeadline() {
	_ = c.control.SetWriteDeadline(time.Now().Add(c.tracker.cfg.Limits.StallTimeout))
}

// begin starts a step.
func (c *Caller) begin(s step) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.step, c.progressAt = s, clock.Now()
}

// Write implements io.Writer. It returns ErrCallerNotReading if the caller takes no bytes for the stall timeout.
func (c *Caller) Write(p []byte) (int, error) {
	if err := c.beginWrite(int64(len(p))); err != nil {
		return 0, err
	}
	n := 0
	for n < len(p) {
		k, err := c.ResponseWriter.Write(p[n:min(len(p), n+writeChunk)])
		n += k
		if err == nil && n < len(p) {
			err = c.continueWrite()
		}
		if err != nil {
			return n, c.endWrite(err)
		}
	}
	return n, c.endWrite(nil)
}

// FlushError flushes the answer. http.ResponseController calls it.
func (c *Caller) FlushError() error {
	if err := c.beginWrite(0); err != nil {
		return err
	}
	return c.endWrite(c.control.Flush())
}

// beginWrite starts a write of n bytes, unless the answer has been ended.
func (c *Caller) beginWrite(n int64) error {
	c.mu.Lock()
	if c.ended == stepAnswer {
		c.mu.Unlock()
		return ErrCallerNotReading
	}
	c.step, c.progressAt, c.writeHeld = stepAnswer, clock.Now(), n
	c.extendDeadline()
	c.mu.Unlock()
	c.tracker.addHeld(n)
	return nil
}

// continueWrite records the progress of a write.
func (c *Caller) continueWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended == stepAnswer {
		return ErrCallerNotReading
	}
	c.recordProgressLocked()
	c.extendDeadline()
	return nil
}

// recordProgressLocked ends a pause without progress in the answer. The caller holds mu.
func (c *Caller) recordProgressLocked() {
	now := clock.Now()
	if now.Sub(c.progressAt) >= unreadThreshold {
		c.unreadAt = now
	}
	c.progressAt = now
}

// endWrite ends a write and returns its error.
func (c *Caller) endWrite(err error) error {
	c.mu.Lock()
	held, stalledAt := c.heldLocked(), c.progressAt
	c.recordProgressLocked()
	n := c.writeHeld
	c.step, c.writeHeld = stepNone, 0
	c.writeFailed = c.writeFailed || err != nil
	customer, route := c.customer, c.route
	ended := c.ended == stepAnswer
	c.mu.Unlock()
	c.tracker.addHeld(-n)
	if !ended && !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	c.tracker.cfg.Scope.Counter("slow_callers_ended").Inc(1)
	klog.InfoS("answer ended, its caller does not read", "customer", customer, "route", route, "held", held, "unread", clock.Since(stalledAt),
		"all_held", c.tracker.held.Load())
	return ErrCallerNotReading
}

// WasUnread reports whether the caller recently left the answer unread for so long that the endpoint may have cut it for that.
func (c *Caller) WasUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.unreadAt.IsZero() && clock.Since(c.unreadAt) < unreadMemory
}

// WithBody returns a copy of r whose body counts as held, as far as it has arrived, until Close. The server needs its own body in r.
func (c *Caller) WithBody(r *http.Request) *http.Request {
	r = r.WithContext(r.Context())
	r.Body = &receivedBody{r.Body, c}
	return r
}

// ReadAnswer reads the first bytes of an answer, at most limit. They count as held until ReleaseAnswer. It reads only
// minAnswerBuffer bytes if more would exceed the limit on held bytes. The error is io.EOF if the answer has ended.
func (c *Caller) ReadAnswer(r io.Reader, limit int) ([]byte, error) {
	start := make([]byte, 0, firstAnswerBuffer)
	for {
		if len(start) == cap(start) {
			size, ok := c.nextBuffer(len(start), limit)
			if !ok {
				return start, nil
			}
			start = append(make([]byte, 0, size), start...)
		}
		n, err := r.Read(start[len(start):cap(start)])
		start = start[:len(start)+n]
		c.holdAnswer(int64(n))
		if err != nil {
			return start, err
		}
	}
}

// nextBuffer returns the next size of the buffer for an answer of which size bytes have been read. ok is false if it may not grow.
func (c *Caller) nextBuffer(size, limit int) (next int, ok bool) {
	next = min(2*size, limit)
	fits := size < minAnswerBuffer || c.tracker.held.Load()+int64(next-size) <= c.tracker.cfg.Limits.HoldBytes
	return next, next > size && fits
}

func (c *Caller) holdAnswer(n int64) {
	c.mu.Lock()
	c.answerHeld += n
	c.mu.Unlock()
	c.tracker.addHeld(n)
}

// ReleaseAnswer ends the count of what ReadAnswer has read. It is called before that is written, because a write counts its bytes.
func (c *Caller) ReleaseAnswer() {
	c.mu.Lock()
	n := c.answerHeld
	c.answerHeld = 0
	c.mu.Unlock()
	c.tracker.addHeld(-n)
}

// Copy copies r to the caller. It reads more only when everything before has been written.
func (c *Caller) Copy(r io.Reader) (readErr, writeErr error) {
	buffer := make([]byte, copyBuffer)
	for {
		n, err := r.Read(buffer)
		if n > 0 {
			if _, werr := c.Write(buffer[:n]); werr != nil {
				return nil, werr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil, nil
		}
		if err != nil {
			return err, nil
		}
	}
}

// Send returns the body of a request to an endpoint, and a context for it. Until the returned function is called, the tracker may
// cancel the request because the endpoint does not read the body.
func (c *Caller) Send(ctx context.Context, body io.Reader) (context.Context, io.Reader, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	c.mu.Lock()
	c.cancelSend = cancel
	if c.ended == stepSend {
		c.ended = stepNone
	}
	c.mu.Unlock()
	return ctx, &sentBody{body, c}, c.endSend
}

func (c *Caller) endSend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelSend = nil
	if c.step == stepSend {
		c.step = stepNone
	}
}

// recordSend records that the transport takes more of the body, or that it has taken all of it.
func (c *Caller) recordSend(done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelSend == nil {
		return
	}
	c.step, c.progressAt = stepSend, clock.Now()
	if done {
		c.step = stepNone
	}
}

// state returns what the decision needs to know. ok is false if the transfer has already been ended.
func (c *Caller) state() (s State, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || (c.ended != stepNone && c.ended == c.step) {
		return State{}, false
	}
	// The transport may read its next piece long after the endpoint took part of the last one; BoundWrites sees each byte.
	hasOwnLimit := c.step == stepBody || c.step == stepSend
	return State{Held: c.heldLocked(), Waiting: c.step != stepNone, ProgressAt: c.progressAt, HasOwnLimit: hasOwnLimit}, true
}

// stalled returns the description of the caller for the status. ok is false if the caller does not stall.
func (c *Caller) stalled(now time.Time) (s Stalled, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := State{Waiting: c.step != stepNone, ProgressAt: c.progressAt}.stall(now)
	return Stalled{Customer: c.customer, Route: c.route, Step: c.step.String(), Held: c.heldLocked(), Since: since}, since >= minStall
}

// end ends the transfer that s describes, unless it has made progress since.
func (c *Caller) end(s State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.step == stepNone || !c.progressAt.Equal(s.ProgressAt) {
		return
	}
	c.ended = c.step
	// A deadline in the past interrupts the transfer.
	past := time.Unix(1, 0)
	switch c.step {
	case stepBody:
		_ = c.control.SetReadDeadline(past)
		c.tracker.cfg.Scope.Counter("slow_callers_ended").Inc(1)
		klog.InfoS("request body ended, its caller does not send and too much is held", "customer", c.customer, "route", c.route, "held", s.Held,
			"unsent", clock.Since(s.ProgressAt))
	case stepSend:
		c.cancelSend(ErrEndpointNotReading)
	case stepAnswer:
		_ = c.control.SetWriteDeadline(past)
	case stepNone:
	}
}

// receivedBody counts the bytes of a request body as they arrive.
type receivedBody struct {
	io.ReadCloser
	caller *Caller
}

// Read implements io.Reader.
func (b *receivedBody) Read(p []byte) (int, error) {
	b.caller.begin(stepBody)
	n, err := b.ReadCloser.Read(p)
	b.caller.begin(stepNone)
	b.caller.mu.Lock()
	b.caller.bodyHeld += int64(n)
	b.caller.mu.Unlock()
	b.caller.tracker.addHeld(int64(n))
	return n, err
}

// sentBody records how the transport takes a request body.
type sentBody struct {
	io.Reader
	caller *Caller
}

// Read implements io.Reader. It returns few bytes at a time, so that progress is seen.
func (b *sentBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p[:min(len(p), writeChunk)])
	b.caller.recordSend(err != nil)
	return n, err
}
