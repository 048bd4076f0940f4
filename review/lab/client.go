package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// hostName is the host of all routes.
const hostName = "lamplight.example"

// isTimeout reports whether an error is a time-out of a connection.
func isTimeout(err error) bool {
	var networkError net.Error
	return errors.As(err, &networkError) && networkError.Timeout()
}

var lastRequest atomic.Int64

// newID returns a new request ID.
func newID() string { return fmt.Sprintf("%016x", 0x9c41d07be2a30000+uint64(lastRequest.Add(1))) }

// request is one attempt of a client.
type request struct {
	id, method, target, body string
	deadline                 time.Duration
	sent                     time.Time
}

func (q request) String() string {
	length := ""
	if q.method != http.MethodGet {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%s\r\n%s", q.method, q.target, hostName, q.id, q.deadline.Milliseconds(), length, q.body)
}

// answer is what a client got for a request; status is 0 if the connection ended without an answer.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends a request on a new connection to the daemon of a machine and waits for the answer up to its deadline and
// half a second.
func send(m *machine, r *record, q request) answer {
	c, err := net.DialTimeout("tcp", m.address(portOutbound), time.Second)
	if err != nil {
		r.add("client at %s: %s not connected: %v", m.name, q.id, err)
		return answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(q.deadline + 500*time.Millisecond))
	r.add("client at %s: sends %s %s %s", m.name, q.id, q.method, q.target)
	if _, err := io.WriteString(c, q.String()); err != nil {
		return answer{err: err}
	}
	a := receive(bufio.NewReader(c), q)
	r.add("client at %s: %s answered %d %v, %d bytes, error %v", m.name, q.id, a.status, strings.Join(a.header["Server-Stamp"], ""), len(a.body), a.err)
	return a
}

// receive reads one whole answer.
func receive(reader *bufio.Reader, q request) answer {
	response, err := http.ReadResponse(reader, &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}
