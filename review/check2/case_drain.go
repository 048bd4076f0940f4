package main

import (
	"fmt"
	"net/http"
	"time"
)

// drainTime is drainS of the settings.
const drainTime = 2 * time.Second

// checkDrain lets a server restart under its ID, leave some seconds later, and sends requests once drainS is over. With the
// disruption the time of day of its machine was 2 s ahead at its first start.
func checkDrain(f *fleet, isTroubled bool) ([]string, error) {
	leaving := newServer(9, 50*time.Millisecond)
	if isTroubled {
		leaving.clockAhead = 2 * time.Second
	}
	f.add("ledger", leaving)
	f.add("ledger", newServer(9, 50*time.Millisecond))
	for range 3 {
		f.add("desk", newServer(9, 50*time.Millisecond))
	}
	f.putConfiguration(`{"version":"00000003","services":[{"name":"desk","healthCheckPath":"/healthz","maxConnections":120,"protocol":"h1","tls":false},{"name":"ledger","healthCheckPath":"/healthz","maxConnections":120,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},"virtualHosts":[{"hostname":"desk.example","paths":[` +
		`{"name":"r-ledger","prefix":"/ledger/","kind":"unsafe","timeoutS":2,"targetLatencyS":0.5,"priority":1,"service":"ledger","attempts":2}]}]}`)
	for _, m := range f.machines {
		if err := m.start(true); err != nil {
			return nil, err
		}
	}
	for _, m := range f.machines {
		if err := m.awaitReady(20 * time.Second); err != nil {
			return nil, err
		}
		if err := m.server.start(); err != nil {
			return nil, err
		}
	}
	time.Sleep(300 * time.Millisecond)
	leaving.crash()
	leaving.clockAhead = 0
	time.Sleep(700 * time.Millisecond)
	if err := leaving.start(); err != nil {
		return nil, err
	}
	time.Sleep(6 * time.Second)
	acknowledged := leaving.leave()
	f.record.line("server %s says that it drains, acknowledged", leaving.id)
	time.Sleep(time.Until(acknowledged.Add(drainTime + 500*time.Millisecond)))
	for i := range 8 {
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
