// Package logsink writes log lines to a stream that may block, without blocking the code that logs.
package logsink

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/part"
)

const (
	// maxBufferedLines is the maximum number of lines in the buffer. It is about the number of lines that a box under full load
	// logs in a second.
	maxBufferedLines = 2048
	// dropReportInterval is the interval at which the number of dropped lines is written to the stream.
	dropReportInterval = time.Second
	// flushTimeout is the maximum time to write the buffered lines when the process ends.
	flushTimeout = 200 * time.Millisecond
)

// Config configures a Sink.
type Config struct {
	Out io.Writer
}

// Sink buffers lines and writes them to the stream in order. If the buffer is full, it drops and counts further lines.
type Sink struct {
	cfg   Config
	lines chan []byte
	// unreportedDrops counts the dropped lines since the last report, totalDrops all dropped lines.
	unreportedDrops atomic.Int64
	totalDrops      atomic.Int64
	done            chan struct{}
}

// New returns a Sink. The caller must run its Serve method, which writes the lines.
func New(cfg Config) *Sink {
	return &Sink{cfg: cfg, lines: make(chan []byte, maxBufferedLines), done: make(chan struct{})}
}

// Done returns a channel that is closed when Serve returns after the end of its context.
func (s *Sink) Done() <-chan struct{} { return s.done }

// Dropped returns the number of lines dropped so far.
func (s *Sink) Dropped() int64 { return s.totalDrops.Load() }

// Write implements io.Writer. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.unreportedDrops.Add(1)
		s.totalDrops.Add(1)
	}
	return len(line), nil
}

// Serve writes lines until ctx is done, and then flushes the buffer.
func (s *Sink) Serve(ctx context.Context) error {
	defer part.CloseIfEnded(ctx, s.done)
	dropReports := time.NewTicker(dropReportInterval)
	defer dropReports.Stop()
	for {
		select {
		case line := <-s.lines:
			s.writeLine(line)
		case <-dropReports.C:
			s.reportDrops()
		case <-ctx.Done():
			s.flush()
			return ctx.Err()
		}
	}
}

// writeLine writes a line to the stream. It ignores errors, because the stream is the only place to report them.
func (s *Sink) writeLine(line []byte) { _, _ = s.cfg.Out.Write(line) }

// reportDrops writes a line with the number of lines dropped since the last report, if there are any.
func (s *Sink) reportDrops() {
	if n := s.unreportedDrops.Swap(0); n > 0 {
		s.writeLine(fmt.Appendf(nil, "\"log lines dropped\" lines=%d\n", n))
	}
}

// flush writes the buffered lines until the buffer is empty or flushTimeout has passed.
func (s *Sink) flush() {
	deadline := clock.Now().Add(flushTimeout)
	for clock.Now().Before(deadline) {
		select {
		case line := <-s.lines:
			s.writeLine(line)
		default:
			s.reportDrops()
			return
		}
	}
}
