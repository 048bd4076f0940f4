package peer

import (
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"siskinspar.example/sidecar/bandwidth"
)

// writeTimeout limits each write to another daemon; a paced message takes several.
const writeTimeout = time.Second

// timeoutConn is a connection whose writes fail after writeTimeout, so that a daemon that does not read can't block.
type timeoutConn struct{ net.Conn }

// Write implements net.Conn.
func (c timeoutConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// pacedConn sends large messages in parts, at the rate of its pacer. writeTimeout applies to each part.
type pacedConn struct {
	timeoutConn
	paced io.Writer
}

func newPacedConn(c net.Conn, p *bandwidth.Pacer) pacedConn {
	limited := timeoutConn{c}
	return pacedConn{timeoutConn: limited, paced: p.Writer(limited)}
}

// Write implements net.Conn.
func (c pacedConn) Write(p []byte) (int, error) { return c.paced.Write(p) }

// setUserTimeout returns a net.Dialer.Control function that sets TCP_USER_TIMEOUT: the kernel ends the connection when
// sent data stays unacknowledged for limit.
func setUserTimeout(limit time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var setError error
		err := c.Control(func(fd uintptr) {
			setError = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return setError
	}
}
