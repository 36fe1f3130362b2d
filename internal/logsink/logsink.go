// Package logsink writes log lines to a stream that may block, without ever making the writers wait.
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
	// ring bounds the lines that wait: about a second of the lines of a box under full load.
	ring = 2048
	// tellEvery is how often lines that were left out are told.
	tellEvery = time.Second
	// flushTime bounds the writing of what waits when the process ends.
	flushTime = 200 * time.Millisecond
)

// Config configures a Sink.
type Config struct {
	Out io.Writer
}

// Sink takes lines in at once and writes them one after the other. Lines that find the ring full are left out and counted.
type Sink struct {
	cfg     Config
	lines   chan []byte
	dropped atomic.Int64
	total   atomic.Int64
	done    chan struct{}
}

// New returns a Sink; its Serve has to run.
func New(cfg Config) *Sink {
	return &Sink{cfg: cfg, lines: make(chan []byte, ring), done: make(chan struct{})}
}

// Done is closed when Serve has ended.
func (s *Sink) Done() <-chan struct{} { return s.done }

// Dropped returns how many lines have been left out so far.
func (s *Sink) Dropped() int64 { return s.total.Load() }

// Write implements io.Writer. It never waits and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
		s.total.Add(1)
	}
	return len(line), nil
}

// Serve writes lines until ctx ends, then what still waits.
func (s *Sink) Serve(ctx context.Context) error {
	defer part.CloseIfEnded(ctx, s.done)
	tell := time.NewTicker(tellEvery)
	defer tell.Stop()
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		case <-tell.C:
			s.tellDropped()
		case <-ctx.Done():
			s.flush()
			return ctx.Err()
		}
	}
}

// write passes a line on. A stream that fails has nobody left to tell.
func (s *Sink) write(line []byte) { _, _ = s.cfg.Out.Write(line) }

func (s *Sink) tellDropped() {
	if n := s.dropped.Swap(0); n > 0 {
		s.write(fmt.Appendf(nil, "\"log lines left out\" lines=%d\n", n))
	}
}

// flush writes what waits, for a short time only.
func (s *Sink) flush() {
	end := clock.Now().Add(flushTime)
	for clock.Now().Before(end) {
		select {
		case line := <-s.lines:
			s.write(line)
		default:
			s.tellDropped()
			return
		}
	}
}
