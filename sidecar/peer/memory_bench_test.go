package peer_test

import (
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/peer"
)

// stateService replies to probes and calls as daemons do.
type stateService struct{}

func (stateService) Probe(p *message.Probe, reply *message.Probe) error {
	*reply = *p
	return nil
}

func (stateService) Call(c *message.Call, reply *message.Reply) error {
	*reply = message.Reply{Outcome: message.Ran, Answer: message.Answer{Status: 200, Header: c.Request.Header, Body: c.Request.Body}}
	return nil
}

func probe() *message.Probe {
	return &message.Probe{Record: member.Record{Address: "10.1.0.38:8146", DataCentre: "a", Server: member.Server{ID: "i", Service: "s", Slots: 9}, Load: member.Load{Slots: 9}}, Version: 12}
}

// BenchmarkConnection reports what one connection between two daemons costs, both ends together: the heap that it keeps
// after a probe and a call, and the time to open it and send both.
func BenchmarkConnection(b *testing.B) {
	const connections = 200
	s, address := startServer(b, stateService{}, nil)
	defer s.Stop(time.Second)
	heap := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc + m.StackInuse
	}
	for b.Loop() {
		before := heap()
		began := time.Now()
		var open []*peer.Connection
		for range connections {
			c := &peer.Connection{Address: address}
			assert.NilError(b, c.Call(b.Context(), peer.ServiceName+".Probe", probe(), &message.Probe{}))
			assert.NilError(b, c.Call(b.Context(), peer.ServiceName+".Call", &message.Call{Request: message.Request{ID: "r", Body: []byte("x")}}, &message.Reply{}))
			open = append(open, c)
		}
		b.ReportMetric(float64(time.Since(began).Microseconds())/connections, "us/connection")
		b.ReportMetric(float64(heap()-before)/connections, "B/connection")
		for _, c := range open {
			c.Close()
		}
	}
	b.ReportMetric(0, "ns/op")
}

// BenchmarkProbe measures one probe on an open connection.
func BenchmarkProbe(b *testing.B) {
	s, address := startServer(b, stateService{}, nil)
	defer s.Stop(time.Second)
	c := &peer.Connection{Address: address}
	b.ReportAllocs()
	for b.Loop() {
		assert.NilError(b, c.Call(b.Context(), peer.ServiceName+".Probe", probe(), &message.Probe{}))
	}
}
