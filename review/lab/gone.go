package main

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// playGone: servers turn slow, and clients leave before their deadline.
func playGone(l *lab) (bool, error) {
	const count = 24
	const idleTimeoutS = 2.0
	work, leaveAfter := 200*time.Millisecond, 3*time.Second
	if l.isTrouble {
		work = 5 * time.Second
	}
	l.store.put("op", "config", configuration(7, idleTimeoutS,
		routeOf{Name: "pull", Prefix: "/pull/", Kind: "download", TargetLatencyS: 1.5, Priority: 2, Service: "ledger", Attempts: 2}))
	var mu sync.Mutex
	ended := map[string]time.Time{}
	whole := map[string]bool{}
	configure := func(s *server) {
		s.work = func(*http.Request) time.Duration { return work }
		s.onEnd = func(id string, isWhole bool) {
			mu.Lock()
			defer mu.Unlock()
			ended[id], whole[id] = time.Now(), isWhole
		}
	}
	for _, m := range []struct{ name, zone string }{{"a1", "zone-a"}, {"b1", "zone-b"}, {"c1", "zone-c"}} {
		if err := l.add(m.name, m.zone, "ledger", configure); err != nil {
			return false, err
		}
	}
	if err := l.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	left := map[string]time.Time{}
	var group sync.WaitGroup
	for n := range count {
		q := request{id: newID(), method: http.MethodGet, target: "/pull/1", deadline: 8 * time.Second}
		m := l.machines[n%len(l.machines)]
		group.Add(1)
		go func() {
			defer group.Done()
			c, err := net.Dial("tcp", m.address(portOutbound))
			if err != nil {
				return
			}
			defer c.Close()
			l.record.add("client at %s: sends %s", m.name, q.id)
			_, _ = io.WriteString(c, q.String())
			_ = c.SetReadDeadline(time.Now().Add(leaveAfter))
			b := make([]byte, 1)
			if _, err := c.Read(b); err == nil {
				l.record.add("client at %s: %s is answered", m.name, q.id)
				return
			}
			_ = c.Close()
			l.record.add("client at %s: leaves, %s", m.name, q.id)
			mu.Lock()
			defer mu.Unlock()
			left[q.id] = time.Now()
		}()
	}
	group.Wait()
	time.Sleep(6 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	atWork := 0
	for id, at := range left {
		if whole[id] && ended[id].Sub(at) > 500*time.Millisecond {
			atWork++
		}
	}
	l.record.say("GONE: %d clients left; servers were still at work half a second later on %d of their requests", len(left), atWork)
	return len(left) > 0 && 4*atWork > len(left), nil
}
