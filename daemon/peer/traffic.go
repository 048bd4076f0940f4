package peer

import (
	"io"
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of control connections.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
}

// Sent returns the bytes written.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Received returns the bytes read.
func (t *Traffic) Received() int64 { return t.received.Load() }

// countedConn is a connection whose buffered remainder is read first and whose bytes are counted.
type countedConn struct {
	net.Conn
	reader  io.Reader
	traffic *Traffic
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.reader.Read(p)
	c.traffic.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n))
	return n, err
}
