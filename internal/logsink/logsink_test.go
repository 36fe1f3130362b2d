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

// blocked is a stream whose reader has stopped until it is opened.
type blocked struct {
	open chan struct{}
	got  bytes.Buffer
}

// Write implements io.Writer.
func (b *blocked) Write(p []byte) (int, error) {
	<-b.open
	return b.got.Write(p)
}

// TestBlockedStreamHoldsNobodyUp writes far more lines than are kept to a stream that takes none.
func TestBlockedStreamHoldsNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := &blocked{open: make(chan struct{})}
		s := logsink.New(logsink.Config{Out: out})
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return s.Serve(ctx) })
		began := time.Now()
		const lines = 10000
		for i := range lines {
			_, err := fmt.Fprintf(s, "line %d\n", i)
			c.Assert(err, qt.IsNil)
		}
		c.Check(time.Since(began), qt.Equals, time.Duration(0))
		c.Check(s.Dropped() > 0, qt.IsTrue)
		close(out.open)
		time.Sleep(2 * time.Second)
		cancel()
		c.Check(group.Wait(), qt.ErrorIs, context.Canceled)
		written := strings.Count(out.got.String(), "line ")
		c.Check(int64(written)+s.Dropped(), qt.Equals, int64(lines))
		c.Check(out.got.String(), qt.Contains, fmt.Sprintf("lines=%d", s.Dropped()))
	})
}
