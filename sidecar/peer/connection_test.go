package peer_test

import (
	"context"
	"io"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/bandwidth"
	"siskinspar.example/sidecar/memory"
	"siskinspar.example/sidecar/peer"
	"siskinspar.example/standin/loopback"
)

// echoService returns what it gets.
type echoService struct{}

func (echoService) Echo(text string, reply *string) error {
	*reply = text
	return nil
}

// A call that waits for its turn on a thin link has not been sent when its deadline passes, so it may go elsewhere; and
// it must not be sent later.
func TestACallThatNeverLeftIsReportedAsNotSent(t *testing.T) {
	s, address := startServer(t, echoService{}, nil)
	defer s.Stop(time.Second)
	// The link takes about 20 s for the first call.
	c := &peer.Connection{Address: address, Pacer: bandwidth.NewPacer(1e6)}
	assert.NilError(t, c.Call(t.Context(), peer.ServiceName+".Echo", "connect", new(string)))
	first, cancelFirst := context.WithCancel(t.Context())
	defer cancelFirst()
	go func() { _ = c.Call(first, peer.ServiceName+".Echo", string(make([]byte, 2<<20)), new(string)) }()
	for !c.IsBusy() {
		time.Sleep(time.Millisecond)
	}
	// The first call holds the connection from here on.
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	err := c.Call(ctx, peer.ServiceName+".Echo", "second", new(string))
	assert.ErrorIs(t, err, peer.ErrNotSent)
	c.Close()
}

func TestACallToNobodyIsNotSent(t *testing.T) {
	c := &peer.Connection{Address: loopback.Address()}
	assert.ErrorIs(t, c.Call(t.Context(), peer.ServiceName+".Echo", "", new(string)), peer.ErrNotSent)
}

// endlessMessage begins a message of the largest length that another daemon accepts, 68 MiB.
var endlessMessage = []byte{0x04, 0x40, 0x00, 0x00}

// Daemons in trouble that send without end must not exhaust the memory of the smallest instance, either as callers or in
// their replies.
func TestDaemonsThatSendWithoutEndDontExhaustTheMemory(t *testing.T) {
	const instanceMemory = 184 << 20
	const senders = 10
	budget := &memory.Budget{Bytes: instanceMemory / 5}
	s, address := startServer(t, echoService{}, budget)
	defer s.Stop(time.Second)
	var group sync.WaitGroup
	for range senders {
		c, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		group.Go(func() { sendEndless(c) })
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go sendEndless(c)
		}
	}()
	for range senders {
		group.Go(func() {
			c := &peer.Connection{Address: l.Addr().String(), Memory: budget}
			assert.Check(t, c.Call(t.Context(), peer.ServiceName+".Echo", "", new(string)) != nil)
		})
	}
	ended := make(chan struct{})
	go func() {
		group.Wait()
		close(ended)
	}()
	peak := uint64(0)
	for isOpen := true; isOpen; {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak = max(peak, m.HeapInuse)
		select {
		case <-ended:
			isOpen = false
		case <-time.After(2 * time.Millisecond):
		}
	}
	assert.Assert(t, peak < instanceMemory, "peak of the heap: %d bytes", peak)
	assert.Assert(t, budget.Acquire(instanceMemory/5), "the memory is released")
}

// sendEndless sends a message without end until the other side closes the connection.
func sendEndless(c net.Conn) {
	defer c.Close()
	_, err := c.Write(endlessMessage)
	chunk := make([]byte, 64<<10)
	for err == nil {
		_, err = c.Write(chunk)
	}
	_, _ = io.Copy(io.Discard, c)
}
