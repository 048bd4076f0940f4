package ingress_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/ingress"
)

func TestRequestsWithoutAnAnswerAtTheEndOfTheDrainAreAnsweredInOrder(t *testing.T) {
	s, h, address := start(t)
	c, r := dial(t, address)
	_, err := io.WriteString(c, get("/wait/1")+get("/2")+get("/wait/3"))
	assert.NilError(t, err)
	for range 3 {
		<-h.started
	}
	go s.Stop(50 * time.Millisecond)
	for _, status := range []int{http.StatusBadGateway, http.StatusOK, http.StatusBadGateway} {
		response, _ := read(t, r)
		assert.Equal(t, response.StatusCode, status)
	}
	_, err = r.ReadByte()
	assert.Equal(t, err, io.EOF)
}

// openConnections opens connections to a server, of which each second one has had a request and its answer.
func openConnections(t *testing.T, h *handler, address string, count int) ([]net.Conn, []*bufio.Reader) {
	t.Helper()
	conns := make([]net.Conn, count)
	readers := make([]*bufio.Reader, count)
	for i := range count {
		conns[i], readers[i] = dial(t, address)
		if i%2 == 0 {
			continue
		}
		_, err := io.WriteString(conns[i], get("/first"))
		assert.NilError(t, err)
		_, _ = read(t, readers[i])
		<-h.started
	}
	return conns, readers
}

// A process with little processor time may learn of its end before it has read what its clients sent.
func TestRequestsThatLieUnreadInTheSocketsAtTheDrainAreAnswered(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(s *ingress.Server)
	}{
		{"drain", func(s *ingress.Server) { s.Drain() }},
		{"stop", func(s *ingress.Server) { go s.Stop(5 * time.Second) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, h, address := start(t)
			conns, readers := openConnections(t, h, address, 60)
			// With one processor the server does not run between the writes and the end.
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
			for _, conn := range conns {
				_, err := io.WriteString(conn, get("/unread"))
				assert.NilError(t, err)
			}
			c.end(s)
			for i, r := range readers {
				response, body := read(t, r)
				assert.Equal(t, body, "GET /unread ")
				if response.Close {
					continue
				}
				// It was answered before the end began; the next answer tells of the close.
				_, err := io.WriteString(conns[i], get("/next"))
				assert.NilError(t, err)
				response, body = read(t, r)
				assert.Equal(t, body, "GET /next ")
				assert.Assert(t, response.Close)
			}
		})
	}
}

func TestRequestsOnOpenConnectionsDuringTheDrainAreAnswered(t *testing.T) {
	s, h, address := start(t)
	conns, readers := openConnections(t, h, address, 4)
	s.Drain()
	time.Sleep(50 * time.Millisecond)
	for i, conn := range conns {
		_, err := io.WriteString(conn, get("/during"))
		assert.NilError(t, err)
		response, body := read(t, readers[i])
		assert.Equal(t, body, "GET /during ")
		assert.Assert(t, response.Close)
		_, err = readers[i].ReadByte()
		assert.Equal(t, err, io.EOF)
	}
}

func TestUnusedConnectionsAreClosedByTheStopOnly(t *testing.T) {
	s, h, address := start(t)
	conns, readers := openConnections(t, h, address, 4)
	s.Drain()
	for i, r := range readers {
		assert.NilError(t, conns[i].SetReadDeadline(time.Now().Add(300*time.Millisecond)))
		_, err := r.ReadByte()
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded, "the drain closes no connection")
		assert.NilError(t, conns[i].SetReadDeadline(time.Now().Add(20*time.Second)))
	}
	began := time.Now()
	go s.Stop(5 * time.Second)
	for _, r := range readers {
		_, err := r.ReadByte()
		assert.Equal(t, err, io.EOF)
	}
	assert.Assert(t, time.Since(began) < 2*time.Second)
}

// A connection may carry its first request, or the next one, just as the server stops.
func TestAConnectionUsedJustBeforeTheStopServesOneMoreRequest(t *testing.T) {
	s, h, address := start(t)
	conns, readers := openConnections(t, h, address, 4)
	go s.Stop(5 * time.Second)
	time.Sleep(100 * time.Millisecond)
	for i, c := range conns {
		_, err := io.WriteString(c, get("/more"))
		assert.NilError(t, err)
		response, body := read(t, readers[i])
		assert.Equal(t, body, "GET /more ")
		assert.Assert(t, response.Close)
	}
}

func TestARequestInTheMidstOfItsArrivalDuringTheDrainIsAnswered(t *testing.T) {
	s, h, address := start(t)
	c, r := dial(t, address)
	const second = "POST /second HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"
	_, err := io.WriteString(c, get("/wait")+second)
	assert.NilError(t, err)
	<-h.started
	s.Drain()
	time.Sleep(50 * time.Millisecond)
	close(h.release)
	first, _ := read(t, r)
	assert.Assert(t, !first.Close, "another answer follows")
	_, err = io.WriteString(c, "body")
	assert.NilError(t, err)
	response, body := read(t, r)
	assert.Equal(t, body, "POST /second body")
	assert.Assert(t, response.Close)
}

func TestAnUnusedConnectionIsClosedAtItsIdleTimeout(t *testing.T) {
	_, h, address := startWithIdleTimeout(t, 200*time.Millisecond)
	began := time.Now()
	_, readers := openConnections(t, h, address, 4)
	for _, r := range readers {
		_, err := r.ReadByte()
		assert.Equal(t, err, io.EOF)
	}
	assert.Assert(t, time.Since(began) > 200*time.Millisecond && time.Since(began) < 2*time.Second, "closed after %v", time.Since(began))
}

// A client learns from a reset that a request which crosses the close was not read.
func TestWhatArrivesAfterTheCloseOfAnUnusedConnectionIsNotRead(t *testing.T) {
	s, _, address := start(t)
	c, r := dial(t, address)
	go s.Stop(5 * time.Second)
	_, err := r.ReadByte()
	assert.Equal(t, err, io.EOF)
	_, err = io.WriteString(c, get("/late"))
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	_, err = io.WriteString(c, get("/later"))
	assert.Assert(t, err != nil, "the connection was reset")
}

func TestAConnectionMayIdleAfterAnAnswerThatTookLongerThanTheIdleTimeout(t *testing.T) {
	_, h, address := startWithIdleTimeout(t, 300*time.Millisecond)
	c, r := dial(t, address)
	_, err := io.WriteString(c, get("/wait"))
	assert.NilError(t, err)
	<-h.started
	time.Sleep(600 * time.Millisecond)
	close(h.release)
	_, _ = read(t, r)
	time.Sleep(50 * time.Millisecond)
	_, err = io.WriteString(c, get("/next"))
	assert.NilError(t, err)
	_, body := read(t, r)
	assert.Equal(t, body, "GET /next ")
}

func TestADisconnectAfterTheIdleTimeoutCancelsTheRequest(t *testing.T) {
	_, h, address := startWithIdleTimeout(t, 100*time.Millisecond)
	c, _ := dial(t, address)
	_, err := io.WriteString(c, get("/wait"))
	assert.NilError(t, err)
	<-h.started
	time.Sleep(300 * time.Millisecond)
	assert.NilError(t, c.Close())
	select {
	case <-h.disconnected:
	case <-time.After(10 * time.Second):
		t.Fatal("request not cancelled")
	}
}
