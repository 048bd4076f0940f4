package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/memory"
	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/upstream"
	"siskinspar.example/standin/endless"
)

const (
	// instanceMemory is the memory of the smallest instance in bytes.
	instanceMemory = 184 << 20
	// concurrentServers is the number of servers that send without end at once.
	concurrentServers = 10
)

// serveEndless starts a server that answers each request with a beginning and then repeats a part until the other side
// closes the connection. It returns the address and the number of connections that have been closed.
func serveEndless(t *testing.T, beginning, part string) (string, *atomic.Int32) {
	t.Helper()
	closed := &atomic.Int32{}
	l, err := endless.Serve("127.0.0.1:0", func(c net.Conn) {
		defer closed.Add(1)
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			endless.Answer{Beginning: beginning, Part: part}.Write(c, 0)
		}
	})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String(), closed
}

// peakHeap runs f and returns the largest size of the heap in bytes meanwhile, sampled each few milliseconds.
func peakHeap(f func()) uint64 {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	peak := uint64(0)
	for {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak = max(peak, m.HeapInuse)
		select {
		case <-done:
			return peak
		case <-time.After(2 * time.Millisecond):
		}
	}
}

func TestServersThatSendWithoutEndDontExhaustTheMemory(t *testing.T) {
	for _, c := range []struct{ name, beginning, part string }{
		{"a status line", "HTTP/1.1 200 ", "x"},
		{"a header", "HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		{"headers", "HTTP/1.1 200 OK\r\n", "X-Many: value\r\n"},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"a body without length", "HTTP/1.1 200 OK\r\nRequest-Id: one\r\n\r\n", "x"},
		{"a body in chunks", "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"},
		{"a chunk with an extension", "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		{"a trailer", "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Long: ", "x"},
		{"a body of a huge length", "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nContent-Length: 9000000000000\r\n\r\n", "x"},
		{"bytes that are no answer", "", "x"},
		{"line ends", "", "\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, closed := serveEndless(t, c.beginning, c.part)
			client := &upstream.Client{
				Address: address, IDHeader: "Request-Id", MaximumBodySize: instanceMemory * 6 / 100, Memory: &memory.Budget{Bytes: instanceMemory / 5},
			}
			peak := peakHeap(func() {
				var group sync.WaitGroup
				for range concurrentServers {
					group.Go(func() {
						result := send(client, "one")
						assert.Check(t, result.Outcome == upstream.Lost || result.Outcome == upstream.Broken)
						assert.Check(t, !errors.Is(result.Err, context.DeadlineExceeded), "the answer is given up when its size is known to be too large")
					})
				}
				group.Wait()
			})
			assert.Assert(t, peak < instanceMemory, "peak of the heap: %d bytes", peak)
			for closed.Load() < concurrentServers {
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// The bytes after a whole answer belong to no request; the connection is closed at once, not when it is used next.
func TestBytesWithoutEndAfterAnAnswerCloseTheConnection(t *testing.T) {
	address, closed := serveEndless(t, ok("one", "body"), "x")
	client := &upstream.Client{Address: address, IDHeader: "Request-Id"}
	result := send(client, "one")
	assert.Equal(t, result.Outcome, upstream.Answered, "%v", result.Err)
	assert.Equal(t, string(result.Answer.Body), "body")
	for closed.Load() < 1 {
		time.Sleep(time.Millisecond)
	}
}

// Without an ID nothing distinguishes the answer to a request from a late one to an earlier request on the connection.
func TestARequestWithoutIDGetsAConnectionOfItsOwn(t *testing.T) {
	address, connections := serve(t, func(int) []string { return []string{ok("{id}", "body"), ok("{id}", "body")} })
	client := &upstream.Client{Address: address, IDHeader: "Request-Id"}
	assert.Equal(t, send(client, "one").Outcome, upstream.Answered)
	q := message.Request{Method: http.MethodGet, Target: "/", Host: "a"}
	assert.Equal(t, client.Send(t.Context(), q, http.Header{}, time.Second).Outcome, upstream.Answered)
	assert.Equal(t, send(client, "two").Outcome, upstream.Answered)
	assert.Equal(t, connections.Load(), int32(2))
}
