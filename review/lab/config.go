package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// outageTime is how long the store turns machines away.
	outageTime = 4500 * time.Millisecond
	// relaysPerZone is the number of daemons of a zone that follow the store.
	relaysPerZone = 2
	// machinesPerZone is the number of machines of each zone.
	machinesPerZone = 6
	// watchOldTime is how long after its acknowledgement a configuration is awaited at most.
	watchOldTime = 26 * time.Second
)

// playConfig: the store turns six of 18 machines away for a while, those whose calls wait there, and serves the others
// and the operator. Meanwhile a configuration moves a route to another service, adds one and drops one.
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
	for _, zone := range []string{"a", "b", "c"} {
		for n := range machinesPerZone {
			service := "desk"
			if n%3 == 2 {
				service = "ledger"
			}
			if err := l.add(fmt.Sprintf("%s%d", zone, n+1), "zone-"+zone, service, configure); err != nil {
				return false, err
			}
		}
	}
	if err := l.awaitReady(); err != nil {
		return false, err
	}
	followers, err := l.awaitFeeds(3 * relaysPerZone)
	if err != nil {
		return false, err
	}
	ended := time.Now().Add(outageTime)
	if l.isTrouble {
		l.record.say("store: gives no response to %d of %d machines for %v, serves the others", len(followers), len(l.machines), outageTime)
		go l.store.turnAway(followers, outageTime)
	}
	time.Sleep(time.Second)
	moved := status
	moved.Service = "ledger"
	acknowledged := l.store.put("op", "config", configuration(9, 15, moved, added))
	l.record.say("configuration 9 is acknowledged: /status/ moves to ledger, /added/ is new, /dropped/ is gone")
	time.Sleep(time.Until(ended.Add(livenessTime + 200*time.Millisecond)))
	l.record.say("the store has served all machines for livenessS, %.1f s after the acknowledgement", time.Since(acknowledged).Seconds())

	checks := func() []request {
		return []request{
			{id: newID(), method: http.MethodGet, target: "/status/1", deadline: 3 * time.Second},
			{id: newID(), method: http.MethodGet, target: "/added/1", deadline: 3 * time.Second},
			{id: newID(), method: http.MethodPost, target: "/dropped/1", body: "loan", deadline: 3 * time.Second},
		}
	}
	old, all := 0, 0
	stale := map[string]bool{}
	for isStale, rounds := true, 0; time.Since(acknowledged) < watchOldTime && (isStale || rounds < 5); rounds++ {
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
					stale[m.name] = true
					l.record.add("CONFIG: %s %s at %s, sent %.3f s after the acknowledgement: answered %d, run by %q", q.method, q.target, m.name, sent.Sub(acknowledged).Seconds(), a.status, x.service)
				}
			}
		}
		time.Sleep(time.Second)
	}
	l.record.say("CONFIG: %d of %d requests at %d machines, all sent later than configS after the acknowledgement, were handled as only the older version allows; the last round ended %.1f s after it", old, all, len(stale), time.Since(acknowledged).Seconds())
	return old > 0, nil
}

// awaitFeeds waits until a number of daemons wait at the store for changes, and returns their addresses there.
func (l *lab) awaitFeeds(number int) ([]string, error) {
	for range 300 {
		addresses, latest := l.store.waitingFeeds()
		if len(addresses) == number && time.Since(latest) > 1500*time.Millisecond {
			l.record.say("%d calls of rows-feed wait, the latest for %.3f s", number, time.Since(latest).Seconds())
			return addresses, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil, errors.New("the daemons that follow the store did not settle")
}
