package peer

import (
	"io"
	"net"
	"sync/atomic"
)

// Traffic counts the bytes that net/rpc connections to and from peers carry, above TLS; it is safe for concurrent use.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
}

// Sent returns the number of bytes written.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Received returns the number of bytes read.
func (t *Traffic) Received() int64 { return t.received.Load() }

// countedConn counts the bytes of a connection and reads through reader, which may still buffer bytes that arrived
// with the upgrade.
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
