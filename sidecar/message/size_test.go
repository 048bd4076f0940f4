package message_test

import (
	"bytes"
	"net/http"
	"net/rpc"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/message"
)

// encodedSize returns the size of messages as package peer encodes them.
func encodedSize(t testing.TB, messages ...any) int {
	t.Helper()
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.SetOmitEmpty(true)
	e.UseCompactInts(true)
	for _, m := range messages {
		assert.NilError(t, e.Encode(m))
	}
	return b.Len()
}

// BenchmarkBytesBetweenDaemons reports the bytes that a request with an answer of 1,000 bytes, a reservation and a probe
// each move between two daemons, both ways.
func BenchmarkBytesBetweenDaemons(b *testing.B) {
	header := http.Header{"Request-Id": {"9c41d07be2a35f68"}, "Deadline-Ms": {"1000"}, "Accept": {"*/*"}}
	load := member.Load{Running: 5, Waiting: 3, Slots: 9, Backlog: 20 * time.Millisecond}
	call := message.Call{
		Job: message.Job{
			Number: 1796398574195 << 20, Entry: "10.1.0.38:8146", Server: "i-7f3a91c2", Route: "r-zji9n73", Priority: 1, Kind: 1,
			Target: 200 * time.Millisecond, Deadline: 500 * time.Millisecond, Share: 1,
		},
		Request: message.Request{ID: "9c41d07be2a35f68", Method: http.MethodGet, Target: "/lohu930/2f", Host: "ficu95.example", Header: header, Caller: "huvo11a"},
	}
	answer := http.Header{"Request-Id": {"9c41d07be2a35f68"}, "Server-Stamp": {"3e1b.07.5a2.600.0.c9f2a4d1"}, "Content-Length": {"1000"}, "Date": {time.RFC1123}}
	reply := message.Reply{Outcome: message.Ran, Answer: message.Answer{Status: http.StatusOK, Header: answer, Body: make([]byte, 1000)}, Load: load}
	size := encodedSize(b, &rpc.Request{ServiceMethod: "Daemon.Call", Seq: 10_000}, &call) + encodedSize(b, &rpc.Response{ServiceMethod: "Daemon.Call", Seq: 10_000}, &reply)
	b.ReportMetric(float64(size), "B/request")
	reservation := encodedSize(b, &rpc.Request{ServiceMethod: "Daemon.Reserve", Seq: 10_000}, &call.Job) + encodedSize(b, &rpc.Response{ServiceMethod: "Daemon.Reserve", Seq: 10_000}, &message.Grant{Ticket: 1 << 40, Load: load})
	b.ReportMetric(float64(reservation), "B/reservation")
	probe := message.Probe{Record: member.Record{Address: "10.1.0.38:8146", DataCentre: "thies-a", Incarnation: 1796398574195, Sequence: 1000, Server: member.Server{ID: "i-7f3a91c2", Service: "huvo11a", Address: "10.1.0.38:8145", Version: "v1", Slots: 9, State: member.Ready, Born: 1796398574195, Sequence: 20}, Load: load}, Version: 12, Known: 194}
	b.ReportMetric(float64(2*encodedSize(b, &rpc.Request{ServiceMethod: "Daemon.Probe", Seq: 10_000}, &probe)), "B/probe")
	b.ReportMetric(0, "ns/op")
}
