package soak_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"siskinspar.example/cmd/soak"
	"siskinspar.example/standin/application"
	"siskinspar.example/standin/endless"
	"siskinspar.example/standin/loopback"
)

const (
	// faultyDaemons is the number of instances whose backend server sends without end; they come first.
	faultyDaemons = 2
	// concurrentRequests is the number of requests to faulty servers in flight, over all clients.
	concurrentRequests = 80
	// calmBodySize is the size of the bodies of calm requests and of their answers in bytes.
	calmBodySize = 300_000
	// calmClients is the number of clients of each daemon that ask a healthy server meanwhile.
	calmClients = 4
	// endlessConfiguration sends reads and writes to the service with faulty servers, and calm requests to the other.
	endlessConfiguration = `{"version":"00000001","services":[{"name":"desk","healthCheckPath":"/healthz","maxConnections":200},` +
		`{"name":"counter","healthCheckPath":"/healthz","maxConnections":200}],` +
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":15},` +
		`"virtualHosts":[{"hostname":"endless.example","paths":[` +
		`{"name":"read","prefix":"/read/","kind":"safe","timeoutS":1,"targetLatencyS":0.5,"priority":2,"service":"desk","attempts":2},` +
		`{"name":"write","prefix":"/write/","kind":"unsafe","timeoutS":1,"targetLatencyS":0.5,"priority":1,"service":"desk","attempts":2},` +
		`{"name":"calm","prefix":"/calm/","kind":"safe","timeoutS":2,"targetLatencyS":0.5,"priority":1,"service":"counter","attempts":2}]}]}`
)

const chunkedHead = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"

// endlessAnswers are the answers of faulty servers; {id} stands for the ID of the request.
var endlessAnswers = []endless.Answer{
	{Name: "status-line", Beginning: "HTTP/1.1 200 ", Part: "x"},
	{Name: "header", Beginning: "HTTP/1.1 200 OK\r\nX-Long: ", Part: "x"},
	{Name: "headers", Beginning: "HTTP/1.1 200 OK\r\n", Part: "X-Many: value\r\n"},
	{Name: "interim-answers", Beginning: "", Part: "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{Name: "no-answer", Beginning: "", Part: "x"},
	{Name: "body-without-length", Beginning: "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\n\r\n", Part: "x"},
	{Name: "body-of-huge-length", Beginning: "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\nContent-Length: 9000000000000\r\n\r\n", Part: "x"},
	{Name: "chunks", Beginning: chunkedHead, Part: "10\r\n0123456789abcdef\r\n"},
	{Name: "chunk-extension", Beginning: chunkedHead + "1;", Part: "x"},
	{Name: "trailer", Beginning: chunkedHead + "0\r\nX-Long: ", Part: "x"},
	{Name: "trailers", Beginning: chunkedHead + "0\r\n", Part: "X-Many: value\r\n"},
}

// endlessServer answers each request without end until the caller closes. The path of a request selects the answer, by
// its number, and the speed: /read/ANSWER/PAUSE, where PAUSE is the pause between two writes in milliseconds.
type endlessServer struct {
	listener net.Listener
	// open is the number of connections on which it sends, and served that of all on which it has sent.
	open, served atomic.Int32
	// begun counts the answers to each request ID, over all servers.
	begun *sync.Map
}

func startEndlessServer(t *testing.T, begun *sync.Map) *endlessServer {
	t.Helper()
	s := &endlessServer{begun: begun}
	var err error
	s.listener, err = endless.Serve(loopback.Address(), s.serve)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.listener.Close() })
	return s
}

func (s *endlessServer) serve(c net.Conn) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	var number, pause int
	_, path, _ := strings.Cut(r.URL.Path[1:], "/")
	if _, err := fmt.Sscanf(path, "%d/%d", &number, &pause); err != nil {
		return
	}
	s.served.Add(1)
	s.open.Add(1)
	defer s.open.Add(-1)
	count, _ := s.begun.LoadOrStore(r.Header.Get("Request-Id"), &atomic.Int32{})
	count.(*atomic.Int32).Add(1)
	a := endlessAnswers[number]
	a.Beginning = strings.ReplaceAll(a.Beginning, "{id}", r.Header.Get("Request-Id"))
	a.Write(c, time.Duration(pause)*time.Millisecond)
}

var calmBody = strings.Repeat("c", calmBodySize)

// startCalmServer starts a healthy server that answers with the body of the request.
func startCalmServer(t *testing.T) string {
	t.Helper()
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Server-Stamp", "calm")
		// An error breaks the connection, which the client notices.
		_, _ = io.Copy(w, r.Body)
	}))
	t.Cleanup(h.Close)
	return h.Listener.Addr().String()
}

// endlessTrial has the daemons with faulty servers and two with healthy ones.
type endlessTrial struct {
	*soak.Soak
	t      *testing.T
	client *http.Client
	faulty []*endlessServer
	begun  sync.Map
	// number is the number of the last request.
	number atomic.Int64
}

// send sends a request to a daemon, and checks that an answer is right: 200 with the body of a healthy server, or a
// failure that is true. It returns the status.
func (e *endlessTrial) send(index int, method, target, body string) int {
	id := fmt.Sprintf("endless-%d", e.number.Add(1))
	r, err := http.NewRequest(method, "http://"+e.ClientAddress(index)+target, strings.NewReader(body))
	assert.Check(e.t, err)
	r.Host = "endless.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "2000")
	response, err := e.client.Do(r)
	if err != nil {
		assert.Check(e.t, err, "each request has an answer")
		return 0
	}
	defer response.Body.Close()
	received, err := io.ReadAll(response.Body)
	assert.Check(e.t, err)
	runs := int32(0)
	if count, ok := e.begun.Load(id); ok {
		runs = count.(*atomic.Int32).Load()
	}
	switch response.StatusCode {
	case http.StatusOK:
		expected := application.Answer(id, target)
		if body == calmBody {
			expected = calmBody
		}
		assert.Check(e.t, string(received) == expected, "the body is that of a healthy server")
	case http.StatusBadGateway, http.StatusGatewayTimeout:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		assert.Check(e.t, method != http.MethodPost || runs == 0, "a request that is refused has not run")
	default:
		assert.Check(e.t, false, "status %d", response.StatusCode)
	}
	limit := int32(2)
	if method == http.MethodPost {
		limit = 1
	}
	assert.Check(e.t, runs <= limit, "%s ran %d times on faulty servers", method, runs)
	return response.StatusCode
}

// ask keeps concurrentRequests requests in flight for a span; pick returns the number of the endless answer for each.
func (e *endlessTrial) ask(span time.Duration, pause int, pick func(n int) int) {
	var group sync.WaitGroup
	until := time.Now().Add(span)
	for worker := range concurrentRequests {
		method, prefix := http.MethodGet, "/read/"
		if worker/2%2 == 1 {
			method, prefix = http.MethodPost, "/write/"
		}
		group.Go(func() {
			for n := worker; time.Now().Before(until); n++ {
				e.send(worker%faultyDaemons, method, fmt.Sprintf("%s%d/%d", prefix, pick(n), pause), "")
			}
		})
	}
	group.Wait()
}

// askCalm has clients of each daemon ask the healthy service until the channel is closed.
func (e *endlessTrial) askCalm(stop <-chan struct{}, group *sync.WaitGroup) (answered *atomic.Int32) {
	answered = &atomic.Int32{}
	for client := range calmClients * faultyDaemons {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				status := e.send(client%faultyDaemons, http.MethodPut, "/calm/", calmBody)
				assert.Check(e.t, status == http.StatusOK, "status %d from a healthy server", status)
				answered.Add(1)
			}
		})
	}
	return answered
}

// check waits until the faulty servers have seen all their connections end, and checks that the daemons run within their memory.
func (e *endlessTrial) check(name string, megabytes int64) {
	poll.WaitOn(e.t, func(poll.LogT) poll.Result {
		for _, f := range e.faulty {
			if n := f.open.Load(); n > 0 {
				return poll.Continue("%s: %d connections are open", name, n)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
	for index, f := range e.faulty {
		assert.Check(e.t, f.served.Swap(0) > 0, "%s: faulty server %d got no request", name, index)
	}
	for index := range faultyDaemons {
		assert.Assert(e.t, !e.HasEnded(index), "%s: daemon %d has ended", name, index)
		peak, err := e.PeakMemory(index)
		assert.NilError(e.t, err)
		e.t.Logf("%s: daemon %d took %d MB of %d", name, index, peak>>20, megabytes)
		assert.Check(e.t, peak < megabytes<<20, "%s: daemon %d took %d MB of %d", name, index, peak>>20, megabytes)
		assert.NilError(e.t, e.ResetPeakMemory(index))
	}
}

// It guards against daemons that keep what a faulty server sends without end, and exhaust the memory of the instance or
// fail the requests of other clients.
func TestServersThatSendWithoutEndDontEndTheDaemon(t *testing.T) {
	t.Parallel()
	binary := buildBinary(t)
	for _, megabytes := range []int64{184, 284} {
		t.Run(fmt.Sprint(megabytes), func(t *testing.T) {
			t.Parallel()
			e := &endlessTrial{t: t, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: concurrentRequests}, Timeout: 4 * time.Second}}
			e.Soak = &soak.Soak{Instances: faultyDaemons + 2, Binary: binary, Directory: t.TempDir(), Out: t.Output()}
			defer e.Stop()
			assert.NilError(t, e.StartStore(endlessConfiguration))
			settings := fmt.Sprintf("limits.memoryMb=%d\n", megabytes)
			for range faultyDaemons {
				f := startEndlessServer(t, &e.begun)
				e.faulty = append(e.faulty, f)
				assert.NilError(t, e.StartInstance("desk", settings, f.listener.Addr().String(), concurrentRequests))
			}
			assert.NilError(t, e.StartInstance("desk", settings, "", 2))
			assert.NilError(t, e.StartInstance("counter", settings, startCalmServer(t), concurrentRequests))
			assert.NilError(t, e.AwaitReady())
			time.Sleep(time.Second)
			stop := make(chan struct{})
			var group sync.WaitGroup
			answered := e.askCalm(stop, &group)
			for number, a := range endlessAnswers {
				e.ask(400*time.Millisecond, 0, func(int) int { return number })
				e.check(a.Name, megabytes)
			}
			e.ask(3*time.Second, 5, func(n int) int { return n % len(endlessAnswers) })
			e.check("slowly, in turn", megabytes)
			close(stop)
			group.Wait()
			t.Logf("%d calm requests", answered.Load())
			assert.Assert(t, answered.Load() > 0)
		})
	}
}
