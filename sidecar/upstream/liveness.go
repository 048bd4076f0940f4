package upstream

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"siskinspar.example/sidecar/connection"
)

const (
	// checkDialTimeout limits the set-up of a connection that only tests whether a server listens.
	checkDialTimeout = 200 * time.Millisecond
	// checkDuration is how long such a connection has to stay open. A process that is exiting may still listen for a
	// moment, and resets the connection when its listener closes.
	checkDuration = 100 * time.Millisecond
)

// IsNotListening reports whether no server listens at a TCP address any more. It is called after a connection to the
// server broke, and takes up to 300 ms. It returns false when the dial times out.
func IsNotListening(address string) bool {
	c, err := net.DialTimeout("tcp", address, checkDialTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	}
	// Nothing was sent on the connection, so a failure to close it does not matter.
	defer c.Close()
	c = connection.New(c)
	if err := c.SetReadDeadline(time.Now().Add(checkDuration)); err != nil {
		return true
	}
	_, err = c.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}
