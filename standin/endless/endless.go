package endless

import (
	"io"
	"net"
	"strings"
	"time"
)

// partSize is the largest number of bytes that one write of repeated parts sends.
const partSize = 16 << 10

// Answer is an answer of which the last part is repeated without end.
type Answer struct{ Name, Beginning, Part string }

// Write sends the answer until w fails, with a pause after each write.
func (a Answer) Write(w io.Writer, pause time.Duration) {
	_, err := io.WriteString(w, a.Beginning)
	for parts := strings.Repeat(a.Part, partSize/len(a.Part)); err == nil; {
		_, err = io.WriteString(w, parts)
		time.Sleep(pause)
	}
}

// Serve listens on a TCP address and serves each connection in a goroutine, after which it closes it. The listener ends
// with its Close, and the connections with serve.
func Serve(address string, serve func(c net.Conn)) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				// The caller may have closed the connection first.
				defer func() { _ = c.Close() }()
				serve(c)
			}()
		}
	}()
	return l, nil
}
