package main

import (
	"net/http"
	"sync"
	"time"
)

// playPath: a configuration adds a route for all paths of a host; clients then send paths that begin with two slashes.
func playPath(l *lab) (bool, error) {
	status := routeOf{Name: "status", Prefix: "/status/", Kind: "safe", TimeoutS: 1.5, TargetLatencyS: 0.5, Priority: 2, Service: "desk", Attempts: 2}
	rest := routeOf{Name: "rest", Prefix: "/", Kind: "unsafe", TimeoutS: 2, TargetLatencyS: 0.6, Priority: 1, Service: "desk", Attempts: 2}
	l.store.put("op", "config", configuration(7, 15, status))
	var mu sync.Mutex
	ran := map[string]run{}
	configure := func(s *server) {
		s.onRun = func(x run) {
			mu.Lock()
			defer mu.Unlock()
			ran[x.id] = x
		}
	}
	for _, m := range []struct{ name, zone string }{{"a1", "zone-a"}, {"b1", "zone-b"}, {"c1", "zone-c"}} {
		if err := l.add(m.name, m.zone, "desk", configure); err != nil {
			return false, err
		}
	}
	if err := l.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if l.isTrouble {
		l.store.put("op", "config", configuration(9, 15, status, rest))
		l.record.say("configuration 9 is acknowledged: a route with the prefix / is new")
	}
	time.Sleep(configTime + time.Second)
	changed, all := 0, 0
	for _, target := range []string{"/status/1", "/status/1?part=2", "//lodge/1", "//lodge/1?part=2"} {
		for _, m := range l.machines {
			q := request{id: newID(), method: http.MethodPost, target: target, body: "loan", deadline: 3 * time.Second}
			send(m, l.record, q)
			mu.Lock()
			x, hasRun := ran[q.id]
			mu.Unlock()
			if !hasRun {
				continue
			}
			all++
			if x.method != q.method || x.target != q.target {
				changed++
				l.record.say("UNASKED: %s was sent as %s %s and run as %s %s", q.id, q.method, q.target, x.method, x.target)
			}
		}
	}
	l.record.say("UNASKED: %d of %d requests that ran had another path than the client sent", changed, all)
	return changed > 0, nil
}
