package httpserver

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// nextWait is how long a connection that is used while the server shuts down waits for its next request.
const nextWait = 500 * time.Millisecond

// conn is a connection of a client. Once it drains, its present wait for a request ends when the socket is found empty,
// and a later one after nextWait.
type conn struct {
	net.Conn

	mu sync.Mutex
	// isWaiting is true until the first byte of the next request was read.
	isWaiting bool
	isDraining bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.isWaiting = false
		c.mu.Unlock()
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isDraining && c.isWaiting {
		t = time.Now().Add(nextWait)
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the side of the connection that the server writes, for http.Server.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.ErrUnsupported
}

// drain ends the present wait for a request and limits each later one.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isDraining = true
	if c.isWaiting {
		// If the deadline can't be set, the connection has ended.
		_ = c.Conn.SetReadDeadline(time.Now())
	}
}

// setState records a change that the server has made.
func (c *conn) setState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateIdle:
		c.isWaiting = true
	case http.StateHijacked:
		c.isWaiting = false
	}
}
