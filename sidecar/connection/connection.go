package connection

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// Conn is a connection whose reads look into the socket once more when their deadline has passed. A read of net.Conn
// then fails without a look, although the bytes may have arrived long before the deadline.
//
// A sender that never pauses is thus read past the deadline; its reader has to bound the bytes.
type Conn struct {
	net.Conn
	// raw is nil if the connection has no socket; its deadlines are then those of net.Conn.
	raw syscall.RawConn
}

// New wraps a connection.
func New(c net.Conn) *Conn {
	n := &Conn{Conn: c}
	if s, ok := c.(syscall.Conn); ok {
		// Without the raw connection only the last look into the socket is left out.
		n.raw, _ = s.SyscallConn()
	}
	return n
}

// Read implements io.Reader. It fails with os.ErrDeadlineExceeded only if the deadline has passed and the socket is empty.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 || len(p) == 0 || c.raw == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	return c.readArrived(p, err)
}

// CloseWrite closes the side of the connection that this process writes.
func (c *Conn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return errors.ErrUnsupported
}

// readArrived reads what lies in the socket; it returns timeout if there is nothing.
func (c *Conn) readArrived(p []byte, timeout error) (n int, err error) {
	var readErr error
	err = c.raw.Control(func(fd uintptr) {
		n, readErr = syscall.Read(int(fd), p)
		for readErr == syscall.EINTR {
			n, readErr = syscall.Read(int(fd), p)
		}
	})
	switch {
	case err != nil:
		return 0, err
	case readErr == syscall.EAGAIN:
		return 0, timeout
	case readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", readErr)}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}
