// Package endless provides bodies for tests whose endpoints send bytes without end.
package endless

import (
	"io"
	"sync"
)

// Body is a body that repeats a text and then stands still before its end, so that a reader holds all that it keeps. Its methods may not be
// called at the same time.
type Body struct {
	text    string
	left    int
	offset  int
	still   func()
	release <-chan struct{}
}

var _ io.ReadCloser = (*Body)(nil)

// New returns a Body of size bytes. It calls onStill when all of them have been read or it has been closed, and ends when release is closed.
func New(text string, size int, onStill func(), release <-chan struct{}) *Body {
	return &Body{text: text, left: size, still: sync.OnceFunc(onStill), release: release}
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	if b.left == 0 {
		b.still()
		<-b.release
		return 0, io.ErrUnexpectedEOF
	}
	n := 0
	for n < len(p) && b.left > 0 {
		k := copy(p[n:min(len(p), n+b.left)], b.text[b.offset:])
		n, b.left, b.offset = n+k, b.left-k, (b.offset+k)%len(b.text)
	}
	return n, nil
}

// Close implements io.Closer.
func (b *Body) Close() error {
	b.still()
	return nil
}
