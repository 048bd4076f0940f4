package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// newID returns the ID of a new client attempt.
func newID() string { return fmt.Sprintf("%016x", 0x9c41d07be2a30000+uint64(lastID.Add(1))) }

// request is one attempt of a client.
type request struct {
	id, method, host, target string
	deadlineMS               int
	body                     []byte
	// headers are further header lines.
	headers string
	isQuiet bool
}

// head returns the head of the request.
func (q request) head() string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%s", q.method, q.target, q.host, q.id, q.deadlineMS, q.headers)
	if len(q.body) > 0 || q.method == http.MethodPost {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	return text + "\r\n"
}

// reply is what the client got; status is 0 if there was no whole answer.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// send sends a request on a new connection and reads the answer.
func (m *machine) send(q request) reply {
	c, err := net.DialTimeout("tcp", m.address(portOutbound), time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer c.Close()
	return m.exchange(c, bufio.NewReader(c), q)
}

// exchange sends a request on a connection and reads the answer.
func (m *machine) exchange(c net.Conn, r *bufio.Reader, q request) reply {
	record := m.fleet.record
	if !q.isQuiet {
		record.line("client at %s sends %s: %s %s, body of %d bytes", m.name, q.id, q.method, q.target, len(q.body))
	}
	_ = c.SetDeadline(time.Now().Add(time.Duration(q.deadlineMS)*time.Millisecond + time.Second))
	if _, err := io.Copy(c, io.MultiReader(bytes.NewReader([]byte(q.head())), bytes.NewReader(q.body))); err != nil {
		record.line("client at %s: %s: %v", m.name, q.id, err)
		return reply{err: err}
	}
	a := readReply(r, q.method)
	if q.isQuiet {
		return a
	}
	record.line("client at %s got for %s: status %d, stamp %q, body of %d bytes, error %v", m.name, q.id, a.status, a.header.Get("Server-Stamp"), len(a.body), a.err)
	return a
}

// readReply reads one answer with the interim ones before it.
func readReply(r *bufio.Reader, method string) reply {
	for {
		response, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return reply{err: err}
		}
		if response.StatusCode/100 == 1 {
			continue
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return reply{err: err}
		}
		return reply{status: response.StatusCode, header: response.Header, body: body}
	}
}
