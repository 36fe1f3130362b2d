// Package detour opens connections to endpoints through other boxes, for a box that cannot connect to them itself.
package detour

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bellgap/bellgap/internal/clock"
)

const (
	// path receives requests for detours. The query parameter queryEndpoint is the address of the endpoint.
	path          = "/peer/detour"
	queryEndpoint = "endpoint"
	// protocol is the value of the Upgrade header.
	protocol = "bellgap-detour/1"
	// maxFrame is the maximum number of bytes in a frame.
	maxFrame        = 16 << 10
	frameHeaderSize = 4
	// connectTimeout limits the connection from the other box to the endpoint, carryTimeout the whole request for a detour.
	connectTimeout = 400 * time.Millisecond
	carryTimeout   = 700 * time.Millisecond
)

// keepAlive ends a connection between two boxes 4 s after the other box fell silent.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// ErrNoPath means that neither this box nor any of the boxes that it asked could connect to an endpoint.
var ErrNoPath = errors.New("detour: no box connects to the endpoint")

// Status counts the open detours of a box.
type Status struct {
	// Used is the number of connections of this box through other boxes, Carried the number of those of other boxes through this one.
	Used    int `json:"used"`
	Carried int `json:"carried"`
}

var errFrame = errors.New("detour: invalid frame")

var buffers = sync.Pool{New: func() any {
	b := make([]byte, frameHeaderSize+maxFrame)
	return &b
}}

// framedConn is a connection through another box. Bytes from the endpoint arrive in frames.
type framedConn struct {
	net.Conn
	reader *bufio.Reader
	// through is the other box.
	through *carrier
	// left is the number of unread bytes of the current frame. ended is set after the last frame.
	left  int
	ended bool
	// onClose is called once when the connection is closed.
	onClose func()
	once    sync.Once
}

// Read implements net.Conn. It returns io.EOF only if the endpoint has ended its connection in order.
func (c *framedConn) Read(p []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	if c.left == 0 {
		if err := c.readHeader(); err != nil {
			return 0, err
		}
	}
	n, err := c.reader.Read(p[:min(len(p), c.left)])
	if n > 0 {
		c.through.recordArrival()
	}
	c.left -= n
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (c *framedConn) readHeader() error {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size == 0 {
		c.ended = true
		return io.EOF
	}
	if size > maxFrame {
		return eris.Wrapf(errFrame, "%d bytes", size)
	}
	c.left = int(size)
	return nil
}

// Write implements net.Conn.
func (c *framedConn) Write(p []byte) (int, error) {
	c.through.recordSent(clock.Now())
	return c.Conn.Write(p)
}

// IsRetired implements httpx.Retirer. A leaving box ends the connections that it carries when its leave time is over, so no further request must be sent over
// them, also while callers keep them busy.
func (c *framedConn) IsRetired() bool { return c.through.isLeaving.Load() }

// Close implements net.Conn.
func (c *framedConn) Close() error {
	c.once.Do(c.onClose)
	return c.Conn.Close()
}

// copyFrames sends what it reads from an endpoint in frames, and a last frame at the end of the endpoint's connection.
func copyFrames(to io.Writer, from io.Reader) error {
	pooled, ok := buffers.Get().(*[]byte)
	if !ok {
		return errFrame
	}
	defer buffers.Put(pooled)
	buffer := *pooled
	for {
		n, err := from.Read(buffer[frameHeaderSize:])
		if n > 0 {
			binary.BigEndian.PutUint32(buffer, uint32(n))
			if _, writeErr := to.Write(buffer[:frameHeaderSize+n]); writeErr != nil {
				return writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			_, writeErr := to.Write(make([]byte, frameHeaderSize))
			return writeErr
		}
		if err != nil {
			return err
		}
	}
}
