package logsink_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/logsink"
)

// blockedWriter is a stream whose writes block until the channel unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	written bytes.Buffer
}

// Write implements io.Writer.
func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.unblock
	return b.written.Write(p)
}

// TestBlockedStreamDoesNotDelayWriters writes many more lines than the buffer holds while the stream blocks. Logging must not
// wait for the stream, and every line must be either written or counted as dropped.
func TestBlockedStreamDoesNotDelayWriters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := &blockedWriter{unblock: make(chan struct{})}
		s := logsink.New(logsink.Config{Out: out})
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return s.Serve(ctx) })
		start := time.Now()
		const lineCount = 10000
		for i := range lineCount {
			_, err := fmt.Fprintf(s, "line %d\n", i)
			c.Assert(err, qt.IsNil)
		}
		c.Check(time.Since(start), qt.Equals, time.Duration(0))
		c.Check(s.Dropped() > 0, qt.IsTrue)
		close(out.unblock)
		time.Sleep(2 * time.Second)
		cancel()
		c.Check(group.Wait(), qt.ErrorIs, context.Canceled)
		writtenLines := strings.Count(out.written.String(), "line ")
		c.Check(int64(writtenLines)+s.Dropped(), qt.Equals, int64(lineCount))
		c.Check(out.written.String(), qt.Contains, fmt.Sprintf("lines=%d", s.Dropped()))
	})
}
