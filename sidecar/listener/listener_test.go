package listener_test

import (
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/listener"
	"siskinspar.example/standin/loopback"
)

// greeting is what the server sends on each connection before it closes it.
const greeting = "hello"

// greet answers and closes a connection.
func greet(t *testing.T, c net.Conn) {
	_, err := io.WriteString(c, greeting)
	assert.Check(t, err)
	assert.Check(t, c.Close())
}

// It guards against connections that the kernel has established, and the process has not accepted, which the close of the
// listener resets.
func TestStopServesTheConnectionsThatWaitToBeAccepted(t *testing.T) {
	isServing, release := make(chan struct{}, 1), make(chan struct{})
	l := &listener.Listener{Name: "clients", Address: loopback.Address(), Logger: slog.New(slog.DiscardHandler)}
	l.Serve = func(c net.Conn) {
		select {
		case isServing <- struct{}{}:
		default:
		}
		<-release
		greet(t, c)
	}
	assert.NilError(t, l.Run())
	var conns []net.Conn
	for range 100 {
		c, err := net.Dial("tcp", l.Address)
		assert.NilError(t, err)
		defer c.Close()
		conns = append(conns, c)
	}
	<-isServing
	go l.Stop()
	// Stop has to come before the accept loop goes on.
	time.Sleep(50 * time.Millisecond)
	close(release)
	for _, c := range conns {
		answer, err := io.ReadAll(c)
		assert.NilError(t, err)
		assert.Equal(t, string(answer), greeting)
	}
	<-l.Done()
	_, err := net.Dial("tcp", l.Address)
	assert.ErrorContains(t, err, "connection refused")
}

func TestStopWithoutConnectionsEndsAtOnce(t *testing.T) {
	l := &listener.Listener{Name: "clients", Address: loopback.Address(), Logger: slog.New(slog.DiscardHandler), Serve: func(c net.Conn) { greet(t, c) }}
	assert.NilError(t, l.Run())
	began := time.Now()
	l.Stop()
	assert.Assert(t, time.Since(began) < time.Second)
	_, err := net.Dial("tcp", l.Address)
	assert.ErrorContains(t, err, "connection refused")
}

// It guards against a stop that outlasts the grace period because clients connect as fast as they are accepted.
func TestStopEndsWhileClientsConnectWithoutPause(t *testing.T) {
	l := &listener.Listener{Name: "clients", Address: loopback.Address(), Logger: slog.New(slog.DiscardHandler)}
	l.Serve = func(c net.Conn) {
		time.Sleep(5 * time.Millisecond)
		_ = c.Close()
	}
	assert.NilError(t, l.Run())
	for range 4 {
		go func() {
			for {
				c, err := net.DialTimeout("tcp", l.Address, time.Second)
				if err != nil {
					return
				}
				_ = c.Close()
			}
		}()
	}
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	l.Stop()
	assert.Assert(t, time.Since(began) < 3*time.Second, "the stop took %v", time.Since(began))
}
