package peer

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"siskinspar.example/sidecar/connection"
)

// clientConn is a connection to another daemon. One goroutine reads the replies to all calls; the others can wait until
// it has read what has arrived.
type clientConn struct {
	*connection.Conn

	mu sync.Mutex
	// requested is closed after the next read that finds the socket empty, or is nil. Such a read begins after the request.
	requested chan struct{}
	// taken is closed after the present read if that finds the socket empty, or is nil.
	taken chan struct{}
	// isEnded is true once a read has failed.
	isEnded bool
}

func newClientConn(c net.Conn) *clientConn { return &clientConn{Conn: connection.New(c)} }

// drained returns a channel that is closed once all bytes that have arrived by now are read, or the connection has ended.
func (c *clientConn) drained() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isEnded {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	if c.requested == nil {
		c.requested = make(chan struct{})
	}
	// Ends a read that waits. If the deadline can't be set, the connection has ended.
	_ = c.SetReadDeadline(time.Now())
	return c.requested
}

// Read implements io.Reader. It is called by one goroutine.
func (c *clientConn) Read(p []byte) (int, error) {
	for {
		c.beginRead()
		n, err := c.Conn.Read(p)
		if err == nil {
			return n, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.end()
			return n, err
		}
		c.endEmptyRead()
	}
}

// beginRead takes the request for a read that finds the socket empty.
func (c *clientConn) beginRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.taken == nil {
		c.taken, c.requested = c.requested, nil
	}
}

// endEmptyRead tells those that wait for it that the socket was found empty. Unless others wait, the next read waits for
// bytes again.
func (c *clientConn) endEmptyRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.taken != nil {
		close(c.taken)
		c.taken = nil
	}
	if c.requested == nil {
		_ = c.SetReadDeadline(time.Time{})
	}
}

// end tells all that wait that the connection has ended.
func (c *clientConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isEnded = true
	for _, waiting := range []chan struct{}{c.taken, c.requested} {
		if waiting != nil {
			close(waiting)
		}
	}
	c.taken, c.requested = nil, nil
}
