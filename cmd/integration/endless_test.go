package integration_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/daemon/operatorapi"
	"siskinspar.example/standin/backend"
	"siskinspar.example/standin/endless"
	"siskinspar.example/standin/loopback"
)

const (
	// daemonMemory is the memory in bytes that the design gives a daemon (docs/CAPACITY.md).
	daemonMemory = 256 << 20
	// endlessRequests is the number of requests in flight to the server that sends without end.
	endlessRequests = 32
)

// endlessServer answers each request without end.
type endlessServer struct {
	listener net.Listener
	answer   atomic.Pointer[endless.Answer]
	// open is the number of connections on which it sends, and served that of all on which it has sent.
	open, served atomic.Int32
}

func startEndlessServer(t *testing.T) *endlessServer {
	t.Helper()
	s := &endlessServer{}
	var err error
	s.listener, err = endless.Serve(loopback.Address(), s.serve)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.listener.Close() })
	return s
}

func (s *endlessServer) serve(c net.Conn) {
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	s.served.Add(1)
	s.open.Add(1)
	defer s.open.Add(-1)
	s.answer.Load().Write(c, 0)
}

// peakMemory returns the largest resident size of a daemon in bytes since the last call.
func (i *instance) peakMemory() int64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.ID()))
	assert.NilError(i.mesh.t, err)
	var kilobytes int64
	_, after, _ := strings.Cut(string(content), "VmHWM:")
	_, err = fmt.Sscan(after, &kilobytes)
	assert.NilError(i.mesh.t, err)
	// The kernel takes 5 as the request to reset the peak.
	assert.NilError(i.mesh.t, os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", i.ID()), []byte("5"), 0))
	return kilobytes << 10
}

// ask sends a request and reads at most a megabyte of its answer, as a client that gives up.
func (i *instance) ask(ctx context.Context, method, path, id string) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+i.callerAddress()+path, nil)
	assert.Check(i.mesh.t, err)
	r.Header = keyHeader(id)
	r.Header.Set("X-Request-Id", id)
	response, err := i.mesh.httpClient.Do(r)
	if err != nil {
		return
	}
	defer response.Body.Close()
	// The error is ignored: an answer without end has no right one.
	_, _ = io.CopyN(io.Discard, response.Body, 1<<20)
}

// It guards against daemons that keep what a faulty server sends without end, in answers to requests and to health
// probes, and exhaust the memory of the instance.
func TestAServerThatSendsWithoutEndDoesNotExhaustTheDaemon(t *testing.T) {
	m := newMesh(t)
	i := m.addDaemon("endless", "kingston-a", "")
	faulty := startEndlessServer(t)
	faulty.answer.Store(&endless.Answer{})
	announcer := &backend.Announcer{
		Client: &operatorapi.Client{Address: i.operatorAddress(), Token: backendToken, HTTP: m.httpClient},
		Announcement: operatorapi.Announcement{
			Name: "endless-1", Address: faulty.listener.Addr().String(), Labels: map[string]string{"service": "desk"}, Slots: endlessRequests, TimeToLive: 3,
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer func() {
		cancel()
		<-announcer.Done()
	}()
	announcer.Start(ctx)
	m.awaitMembership(1)
	output, code := i.apply(m.writeDeclarations(standardDeclarations))
	assert.Equal(t, code, 0, output)
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, a := range []endless.Answer{
		{Name: "status line", Beginning: "HTTP/1.1 200 ", Part: "x"},
		{Name: "header", Beginning: "HTTP/1.1 200 OK\r\nX-Long: ", Part: "x"},
		{Name: "headers", Beginning: "HTTP/1.1 200 OK\r\n", Part: "X-Many: value\r\n"},
		{Name: "interim answers", Beginning: "", Part: "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{Name: "body without length", Beginning: "HTTP/1.1 200 OK\r\n\r\n", Part: "x"},
		{Name: "chunks", Beginning: chunked, Part: "10\r\n0123456789abcdef\r\n"},
		{Name: "trailers", Beginning: chunked + "0\r\n", Part: "X-Many: value\r\n"},
	} {
		faulty.answer.Store(&a)
		limited, cancel := context.WithTimeout(t.Context(), time.Second)
		var group sync.WaitGroup
		for n := range endlessRequests {
			method, path := http.MethodGet, "/status"
			if n%2 == 1 {
				method, path = http.MethodPost, "/repayments"
			}
			group.Go(func() {
				for k := 0; limited.Err() == nil; k++ {
					i.ask(limited, method, path, fmt.Sprintf("%s-%d-%d", strings.ReplaceAll(a.Name, " ", "-"), n, k))
				}
			})
		}
		group.Wait()
		cancel()
		eventually(t, a.Name+": all connections to the server are closed", func() bool { return faulty.open.Load() == 0 })
		peak := i.peakMemory()
		t.Logf("%s: %d answers, %d MB", a.Name, faulty.served.Swap(0), peak>>20)
		assert.Check(t, peak < daemonMemory, "%s: the daemon took %d MB", a.Name, peak>>20)
		select {
		case <-i.Done():
			t.Fatalf("%s: the daemon has ended", a.Name)
		default:
		}
	}
}
