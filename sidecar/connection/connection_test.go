package connection_test

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/connection"
)

// pair returns the two ends of a TCP connection, the first of them wrapped.
func pair(t *testing.T) (*connection.Conn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	far, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = far.Close() })
	near, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = near.Close() })
	return connection.New(near), far
}

// expire sets a read deadline that has passed, once what the far end wrote or closed has arrived.
func expire(t *testing.T, c *connection.Conn) {
	t.Helper()
	time.Sleep(20 * time.Millisecond)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(-time.Second)))
}

func TestBytesThatArrivedAreReadAfterTheDeadline(t *testing.T) {
	near, far := pair(t)
	_, err := io.WriteString(far, "arrived")
	assert.NilError(t, err)
	expire(t, near)
	b := make([]byte, 4)
	for _, part := range []string{"arri", "ved"} {
		n, err := near.Read(b)
		assert.NilError(t, err)
		assert.Equal(t, string(b[:n]), part)
	}
	_, err = near.Read(b)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

func TestAnEndThatArrivedIsReadAfterTheDeadline(t *testing.T) {
	near, far := pair(t)
	assert.NilError(t, far.Close())
	expire(t, near)
	_, err := near.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
}

func TestAResetThatArrivedIsReadAfterTheDeadline(t *testing.T) {
	near, far := pair(t)
	assert.NilError(t, far.(*net.TCPConn).SetLinger(0))
	assert.NilError(t, far.Close())
	expire(t, near)
	_, err := near.Read(make([]byte, 1))
	var networkError net.Error
	assert.Assert(t, err != nil && err != io.EOF)
	assert.Assert(t, errors.As(err, &networkError) && !networkError.Timeout(), "%v", err)
}

func TestAReadOfAClosedConnectionFails(t *testing.T) {
	near, _ := pair(t)
	assert.NilError(t, near.Close())
	_, err := near.Read(make([]byte, 1))
	assert.ErrorIs(t, err, net.ErrClosed)
}
