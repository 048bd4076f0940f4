package upstream

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// lookTimeout bounds the set-up of a connection that only looks whether a server listens.
	lookTimeout = 200 * time.Millisecond
	// lookTime is how long such a connection has to stay open: a process that is ending may still listen for a moment,
	// and resets the connection when its listener closes.
	lookTime = 100 * time.Millisecond
)

// HasEnded reports whether the server at an address no longer listens, after a connection to it broke.
func HasEnded(address string) bool {
	c, err := net.DialTimeout("tcp", address, lookTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	}
	// The connection served only to look.
	defer c.Close()
	if err := c.SetReadDeadline(time.Now().Add(lookTime)); err != nil {
		return true
	}
	_, err = c.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}
