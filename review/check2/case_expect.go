package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// downloadSize is the size of the largest answer of the class ledger-pull on the sheet, in bytes.
const downloadSize = 540_000

// downloadBody returns the body of the answer to a request: its lines name the request and the place.
func downloadBody(id, _ string) []byte {
	var b bytes.Buffer
	for b.Len() < downloadSize {
		fmt.Fprintf(&b, "%s %8d\n", id, b.Len())
	}
	return b.Bytes()[:downloadSize]
}

// checkExpect pulls ledgers over kept connections. With the disruption the client sends the next safe request, which has a
// body and Expect: 100-continue, before the answer to the first has arrived whole; otherwise after it.
func checkExpect(f *fleet, isTroubled bool) ([]string, error) {
	for range 3 {
		s := newServer(9, 50*time.Millisecond)
		s.answer = downloadBody
		// The slowest link and the least memory on the sheet of lamplight-kgn-grown.
		m := f.add("ledger", s)
		m.linkMbps = 10.5
		m.memoryMB = 184
	}
	f.putConfiguration(`{"version":"00000003","services":[{"name":"ledger","healthCheckPath":"/healthz","maxConnections":540,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},"virtualHosts":[{"hostname":"ledger.example","paths":[` +
		`{"name":"r-pull","prefix":"/pull/","kind":"download","timeoutS":4,"targetLatencyS":0.8,"priority":2,"service":"ledger","attempts":2}]}]}`)
	if err := f.start(); err != nil {
		return nil, err
	}
	var broken []string
	whole := 0
	for i := range 12 {
		b, n, err := pullTwice(f.machines[i%3], isTroubled)
		if err != nil {
			f.record.line("client: %v", err)
		}
		broken = append(broken, b...)
		whole += n
		time.Sleep(time.Second)
	}
	if whole == 0 && len(broken) == 0 {
		return nil, fmt.Errorf("no answer was whole")
	}
	return broken, nil
}

// pullTwice sends two requests on one connection, and returns what is wrong with the answers and how many are right.
func pullTwice(m *machine, isEarly bool) (broken []string, whole int, err error) {
	record := m.fleet.record
	c, err := net.DialTimeout("tcp", m.address(portOutbound), time.Second)
	if err != nil {
		return nil, 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(8 * time.Second))
	first := request{id: newID(), method: http.MethodGet, host: "ledger.example", target: "/pull/1", deadlineMS: 4000}
	second := request{id: newID(), method: http.MethodPost, host: "ledger.example", target: "/pull/2", deadlineMS: 4000, body: []byte("since=2026-12-01"), headers: "Expect: 100-continue\r\n"}
	record.line("client at %s sends %s: %s %s", m.name, first.id, first.method, first.target)
	if _, err := io.WriteString(c, first.head()); err != nil {
		return nil, 0, err
	}
	r := bufio.NewReader(c)
	var early []byte
	if isEarly {
		// The answer has begun to arrive.
		early = make([]byte, 20_000)
		if _, err := io.ReadFull(r, early); err != nil {
			return nil, 0, err
		}
		record.line("client at %s sends %s: %s %s with Expect: 100-continue, while the answer to %s arrives", m.name, second.id, second.method, second.target, first.id)
		if _, err := io.WriteString(c, second.head()); err != nil {
			return nil, 0, err
		}
	}
	all := bufio.NewReader(io.MultiReader(bytes.NewReader(early), r))
	a := readReply(all, first.method)
	record.line("client at %s got for %s: status %d, Request-Id %q, body of %d bytes, error %v", m.name, first.id, a.status, a.header.Get("Request-Id"), len(a.body), a.err)
	b, ok := judgeBody(first.id, a)
	broken = append(broken, b...)
	if ok {
		whole++
	}
	if !isEarly {
		record.line("client at %s sends %s: %s %s with Expect: 100-continue", m.name, second.id, second.method, second.target)
		if _, err := io.WriteString(c, second.head()); err != nil {
			return broken, whole, err
		}
	}
	if _, err := c.Write(second.body); err != nil {
		return broken, whole, err
	}
	a = readReply(all, second.method)
	record.line("client at %s got for %s: status %d, Request-Id %q, body of %d bytes, error %v", m.name, second.id, a.status, a.header.Get("Request-Id"), len(a.body), a.err)
	b, ok = judgeBody(second.id, a)
	if ok {
		whole++
	}
	return append(broken, b...), whole, nil
}

// judgeBody says what is wrong with a success, which must have the whole body of the server's answer to its request.
func judgeBody(id string, a reply) (broken []string, isWhole bool) {
	if a.status/100 != 2 {
		return nil, false
	}
	want := downloadBody(id, "")
	if bytes.Equal(a.body, want) {
		return nil, true
	}
	at := 0
	for at < len(a.body) && at < len(want) && a.body[at] == want[at] {
		at++
	}
	got := a.body[at:min(len(a.body), at+40)]
	return []string{fmt.Sprintf("MIXED: the success for %s has a body that is not the server's: from byte %d on it reads %s", id, at, strconv.Quote(string(got)))}, false
}
