package main

import (
	"fmt"
	"net/http"
	"time"
)

// drainTime is drainS of the settings.
const drainTime = 2 * time.Second

// checkDrain lets a server leave and sends requests once drainS is over. With the disruption, a heartbeat of another writer
// with missing fields came before.
func checkDrain(f *fleet, isTroubled bool) ([]string, error) {
	leaving := newServer(9, 50*time.Millisecond)
	f.add("ledger", leaving)
	f.add("ledger", newServer(9, 50*time.Millisecond))
	for range 3 {
		f.add("desk", newServer(9, 50*time.Millisecond))
	}
	f.putConfiguration(`{"version":"00000003","services":[{"name":"desk","healthCheckPath":"/healthz","maxConnections":120,"protocol":"h1","tls":false},{"name":"ledger","healthCheckPath":"/healthz","maxConnections":120,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},"virtualHosts":[{"hostname":"desk.example","paths":[` +
		`{"name":"r-ledger","prefix":"/ledger/","kind":"unsafe","timeoutS":2,"targetLatencyS":0.5,"priority":1,"service":"ledger","attempts":2}]}]}`)
	if err := f.start(); err != nil {
		return nil, err
	}
	if isTroubled {
		// Of the fields of info, the version and the zone are missing; born is not the start of the server.
		err := call(leaving.machine.address(portControl), "instances.heartbeat", leaving.id, map[string]any{
			"address": leaving.machine.address(portServer), "born": time.Now().UnixMilli(),
			"info":   map[string]any{"service": "ledger", "slots": 9},
			"status": map[string]any{"state": "ready", "sequence": 1, "coldRemainingS": 0},
		})
		f.record.line("another writer: a heartbeat without version and zone for server %s, error %v", leaving.id, err)
	}
	time.Sleep(6 * time.Second)
	acknowledged := leaving.leave()
	f.record.line("server %s says that it drains, acknowledged", leaving.id)
	time.Sleep(time.Until(acknowledged.Add(drainTime + 500*time.Millisecond)))
	for i := range 40 {
		if i%8 == 0 {
			time.Sleep(400 * time.Millisecond)
		}
		go f.machines[2+i%3].send(request{id: newID(), method: http.MethodPost, host: "desk.example", target: fmt.Sprintf("/ledger/%d", i), deadlineMS: 2500, body: []byte("one reminder")})
	}
	time.Sleep(time.Second)
	var broken []string
	for _, r := range f.allRuns() {
		if late := r.at.Sub(acknowledged); r.server == leaving.id && late > drainTime {
			broken = append(broken, fmt.Sprintf("DRAIN: %s reached server %s %.1f s after its leaving was acknowledged; drainS is 2", r.id, r.server, late.Seconds()))
		}
	}
	return broken, nil
}

// leave says that the server drains until that is acknowledged, and returns when it was.
func (s *server) leave() time.Time {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	for {
		if s.announce() == nil {
			return time.Now()
		}
		time.Sleep(100 * time.Millisecond)
	}
}
