package peer

import (
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"siskinspar.example/sidecar/bandwidth"
)

// writeTimeout bounds one write to another daemon.
const writeTimeout = time.Second

// boundedConn fails writes to a peer that does not read.
type boundedConn struct{ net.Conn }

// Write implements net.Conn.
func (c boundedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// pacedConn sends large messages at the pace of the link, in parts that are bounded in time each.
type pacedConn struct {
	boundedConn
	paced io.Writer
}

func newPacedConn(c net.Conn, p *bandwidth.Pacer) pacedConn {
	bounded := boundedConn{c}
	return pacedConn{boundedConn: bounded, paced: p.Writer(bounded)}
}

// Write implements net.Conn.
func (c pacedConn) Write(p []byte) (int, error) { return c.paced.Write(p) }

// setUserTimeout ends a connection whose data is not acknowledged in time.
func setUserTimeout(limit time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failure error
		err := c.Control(func(fd uintptr) {
			failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failure
	}
}
