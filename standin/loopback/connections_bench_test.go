package loopback_test

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkShortConnections opens and closes connections on 127.0.0.1, each of which takes a port that the kernel gives
// out. Tests that need a port of that range fail beside it.
func BenchmarkShortConnections(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.Close()
		}
	}()
	for b.Loop() {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			// All ports are in use for the moment.
			continue
		}
		_, _ = c.Read(make([]byte, 1))
		_ = c.Close()
	}
}
