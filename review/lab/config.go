package main

import (
	"errors"
	"net/http"
	"sync"
	"time"
)

const (
	// outageTime is how long the store is down.
	outageTime = 4500 * time.Millisecond
	// watchOldTime is how long after its acknowledgement a configuration is awaited at most.
	watchOldTime = 25 * time.Second
)

// playConfig: the store is silent for a while, and then works again. Later a configuration moves a route to another
// service, adds one and drops one.
func playConfig(l *lab) (bool, error) {
	status := routeOf{Name: "status", Prefix: "/status/", Kind: "safe", TimeoutS: 1.5, TargetLatencyS: 0.5, Priority: 2, Service: "desk", Attempts: 2}
	dropped := routeOf{Name: "dropped", Prefix: "/dropped/", Kind: "unsafe", TimeoutS: 2, TargetLatencyS: 0.5, Priority: 2, Service: "desk", Attempts: 2}
	added := routeOf{Name: "added", Prefix: "/added/", Kind: "safe", TimeoutS: 1.5, TargetLatencyS: 0.5, Priority: 2, Service: "desk", Attempts: 2}
	l.store.put("op", "config", configuration(7, 15, status, dropped))
	var mu sync.Mutex
	ran := map[string]run{}
	configure := func(s *server) {
		s.onRun = func(x run) {
			mu.Lock()
			defer mu.Unlock()
			ran[x.id] = x
		}
	}
	for _, m := range []struct{ name, zone, service string }{{"a1", "zone-a", "desk"}, {"a2", "zone-a", "ledger"}, {"b1", "zone-b", "desk"}, {"b2", "zone-b", "ledger"}, {"c1", "zone-c", "desk"}, {"c2", "zone-c", "ledger"}} {
		if err := l.add(m.name, m.zone, m.service, configure); err != nil {
			return false, err
		}
	}
	if err := l.awaitReady(); err != nil {
		return false, err
	}
	if err := l.awaitFeeds(); err != nil {
		return false, err
	}
	if l.isTrouble {
		l.store.goSilent(outageTime)
	} else {
		time.Sleep(outageTime)
	}
	time.Sleep(livenessTime + time.Second)
	moved := status
	moved.Service = "ledger"
	acknowledged := l.store.put("op", "config", configuration(9, 15, moved, added))
	l.record.say("configuration 9 is acknowledged: /status/ moves to ledger, /added/ is new, /dropped/ is gone")
	time.Sleep(time.Until(acknowledged.Add(configTime + 200*time.Millisecond)))

	checks := func() []request {
		return []request{
			{id: newID(), method: http.MethodGet, target: "/status/1", deadline: 3 * time.Second},
			{id: newID(), method: http.MethodGet, target: "/added/1", deadline: 3 * time.Second},
			{id: newID(), method: http.MethodPost, target: "/dropped/1", body: "loan", deadline: 3 * time.Second},
		}
	}
	old, all := 0, 0
	for isStale := true; time.Since(acknowledged) < watchOldTime && (isStale || time.Since(acknowledged) < 4*time.Second); {
		isStale = false
		for _, m := range l.machines {
			for i, q := range checks() {
				sent := time.Now()
				a := send(m, l.record, q)
				mu.Lock()
				x, hasRun := ran[q.id]
				mu.Unlock()
				all++
				isOld := i == 0 && hasRun && x.service == "desk" || i == 1 && a.status == http.StatusNotFound || i == 2 && hasRun
				if isOld {
					old++
					isStale = true
					l.record.add("CONFIG: %s %s at %s, sent %.3f s after the acknowledgement: answered %d, run by %q", q.method, q.target, m.name, sent.Sub(acknowledged).Seconds(), a.status, x.service)
				}
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	l.record.say("CONFIG: %d of %d requests that were sent later than configS after the acknowledgement were handled as only the older version allows, the last round ended %.1f s after it", old, all, time.Since(acknowledged).Seconds())
	return old > 0, nil
}

// awaitFeeds waits until each daemon that follows the store waits there for changes.
func (l *lab) awaitFeeds() error {
	for range 200 {
		count, oldest := l.store.waitingFeeds()
		if count > 0 && time.Since(oldest) > 1500*time.Millisecond {
			l.record.say("%d calls of rows-feed wait, the oldest for %.3f s", count, time.Since(oldest).Seconds())
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("nobody follows the store")
}
