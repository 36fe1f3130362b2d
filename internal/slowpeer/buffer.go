package slowpeer

import "errors"

// ErrTooMuchHeld is the error of an answer of which more has to be kept than the limit on held bytes leaves.
var ErrTooMuchHeld = errors.New("slowpeer: the answer exceeds the limit on held bytes")

// Buffer counts what is kept of an answer, such as an event, until it is whole and can be written. A nil Buffer counts nothing.
type Buffer struct {
	tracker *Tracker
	// size is the number of bytes kept. held is how many of them count as held: none up to firstAnswerBuffer.
	size, held int64
}

// NewBuffer returns an empty Buffer. It must be released in the end.
func (t *Tracker) NewBuffer() *Buffer { return &Buffer{tracker: t} }

// NewBuffer returns an empty Buffer. It must be released in the end.
func (c *Caller) NewBuffer() *Buffer { return c.tracker.NewBuffer() }

// Grow counts n more bytes. It returns ErrTooMuchHeld if they are more than minAnswerBuffer together and would exceed the limit on held bytes.
func (b *Buffer) Grow(n int) error {
	if b == nil {
		return nil
	}
	b.size += int64(n)
	if b.size <= firstAnswerBuffer {
		return nil
	}
	if b.size > minAnswerBuffer && b.tracker.held.Load()+b.size-b.held > b.tracker.cfg.Limits.HoldBytes {
		b.tracker.cfg.Scope.Counter("answers_too_much_held").Inc(1)
		return ErrTooMuchHeld
	}
	b.tracker.addHeld(b.size - b.held)
	b.held = b.size
	return nil
}

// Release counts the bytes as no longer kept.
func (b *Buffer) Release() {
	if b == nil || b.size == 0 {
		return
	}
	if b.held > 0 {
		b.tracker.addHeld(-b.held)
	}
	b.size, b.held = 0, 0
}
