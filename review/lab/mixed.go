package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// pullSize is the size of a large answer, and thinLinkMbps the link of the machines.
	pullSize     = 200_000
	thinLinkMbps = 14
	// pullCount is the number of large answers.
	pullCount = 6
	// continueTime is how long a client waits for 100 Continue before it sends its body without.
	continueTime = 300 * time.Millisecond
)

// playMixed: on one connection, a client sends a further safe request, with a body for which it expects 100 Continue,
// before it has the whole answer to the first.
func playMixed(l *lab) (bool, error) {
	l.store.put("op", "config", configuration(7, 15,
		routeOf{Name: "pull", Prefix: "/pull/", Kind: "download", TargetLatencyS: 0.4, Priority: 2, Service: "ledger", Attempts: 2},
		routeOf{Name: "status", Prefix: "/status/", Kind: "safe", TimeoutS: 1.5, TargetLatencyS: 0.5, Priority: 2, Service: "ledger", Attempts: 2}))
	body := func(r *http.Request) []byte {
		id := r.Header.Get("Request-Id")
		if r.Method == http.MethodGet {
			return bytes.Repeat([]byte(id+"\n"), pullSize/(len(id)+1))
		}
		return []byte("status for " + id)
	}
	for _, m := range []struct{ name, zone string }{{"a1", "zone-a"}, {"b1", "zone-b"}} {
		err := l.addThin(m.name, m.zone, "ledger", thinLinkMbps, func(s *server) { s.body = body })
		if err != nil {
			return false, err
		}
	}
	if err := l.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	mixed := 0
	for n := range pullCount {
		isWhole, err := l.pullAndAsk(l.machines[n%2], body)
		if err != nil {
			l.record.say("client: %v", err)
		}
		if !isWhole {
			mixed++
		}
		time.Sleep(500 * time.Millisecond)
	}
	l.record.say("MIXED: %d of %d successes had a body that was not the server's whole body", mixed, pullCount)
	return mixed > 0, nil
}

// pullAndAsk sends both requests and reports whether the answer to the first has the server's whole body.
func (l *lab) pullAndAsk(m *machine, body func(*http.Request) []byte) (bool, error) {
	c, err := net.DialTimeout("tcp", m.address(portOutbound), time.Second)
	if err != nil {
		return true, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(6 * time.Second))
	first := request{id: newID(), method: http.MethodGet, target: "/pull/1", deadline: 2500 * time.Millisecond}
	l.record.add("client at %s: sends %s GET /pull/1", m.name, first.id)
	if _, err := io.WriteString(c, first.String()); err != nil {
		return true, err
	}
	reader := bufio.NewReader(c)
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		return true, err
	}
	if l.isTrouble {
		ask(l, m, c)
	}
	got, err := io.ReadAll(response.Body)
	if err != nil {
		return true, fmt.Errorf("the answer to %s broke off: %w", first.id, err)
	}
	if !l.isTrouble {
		ask(l, m, c)
	}
	want := body(&http.Request{Method: http.MethodGet, Header: http.Header{"Request-Id": {first.id}}})
	isWhole := bytes.Equal(got, want)
	l.record.add("client at %s: %s answered %d with %d bytes, the server's bytes: %v", m.name, first.id, response.StatusCode, len(got), isWhole)
	if !isWhole {
		if at := bytes.Index(got, []byte("HTTP/1.1 100")); at >= 0 {
			l.record.say("MIXED: the body of the answer to %s holds at byte %d: %q", first.id, at, got[at:min(len(got), at+30)])
		}
	}
	return isWhole, nil
}

// ask sends the second request of a connection, and its body after a while.
func ask(l *lab, m *machine, c net.Conn) {
	id := newID()
	l.record.add("client at %s: sends %s POST /status/1 on the same connection, Expect: 100-continue", m.name, id)
	_, _ = fmt.Fprintf(c, "POST /status/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n", hostName, id)
	go func() {
		time.Sleep(continueTime)
		// The connection may have ended.
		_, _ = io.WriteString(c, "desk")
	}()
}
