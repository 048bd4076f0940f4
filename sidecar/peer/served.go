package peer

import (
	"net"
	"sync"
	"time"

	"siskinspar.example/sidecar/connection"
)

// servedConn is a connection on which another daemon calls this one. After stop it is read for as long as a call has no
// reply or bytes have arrived, so that each call that has reached this instance gets its reply.
type servedConn struct {
	*connection.Conn

	mu         sync.Mutex
	isStopping bool
	// open is the number of calls that are being read or have no reply yet.
	open int
}

func newServedConn(c net.Conn) *servedConn { return &servedConn{Conn: connection.New(c)} }

// begin records that the first byte of a call has arrived.
func (c *servedConn) begin() { c.addOpen(1) }

// end records that the reply to a call was sent.
func (c *servedConn) end() { c.addOpen(-1) }

func (c *servedConn) addOpen(change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open += change
	c.setDeadline()
}

// stop ends the wait for further calls once no call is open.
func (c *servedConn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isStopping = true
	c.setDeadline()
}

// setDeadline sets the read deadline once the connection stops: a passed one while no call is open, otherwise none. The
// caller holds the lock.
func (c *servedConn) setDeadline() {
	if !c.isStopping {
		return
	}
	deadline := time.Time{}
	if c.open == 0 {
		deadline = time.Now()
	}
	// If the deadline can't be set, the connection has ended and the next read fails.
	_ = c.SetReadDeadline(deadline)
}
