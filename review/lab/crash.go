package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// crashDownTime is how long a server is down after a crash.
	crashDownTime = 2 * time.Second
	// quietTime is the time from a crash to the next rolling restart.
	quietTime = 31 * time.Second
	// restartCount is the number of rolling restarts.
	restartCount = 2
	// freeRetries is the number of retries that the rule allows.
	freeRetries = 3
)

// lodgeTime is how long each of the other requests runs.
const lodgeTime = 400 * time.Millisecond

// lodge sends an unsafe request to each machine and returns, once they run, a function that waits for the answers and
// returns how many were no success.
func (l *lab) lodge() (failed func() int) {
	results := make(chan int, len(l.machines))
	for _, m := range l.machines {
		go func() {
			a := send(m, l.record, request{id: newID(), method: http.MethodPost, target: "/lodge/1", body: "loan", deadline: 4 * time.Second})
			results <- a.status
		}()
	}
	time.Sleep(lodgeTime / 4)
	return func() int {
		lost := 0
		for range l.machines {
			if status := <-results; status/100 != 2 {
				lost++
			}
		}
		return lost
	}
}

// poison sends the request that crashes servers to a machine.
func poison(l *lab, m *machine) {
	send(m, l.record, request{id: newID(), method: http.MethodGet, target: "/pull/poison", deadline: 2500 * time.Millisecond})
}

// playCrash: a request crashes each server that runs it, and comes again. In between, the machines are stopped and
// started in turn.
func playCrash(l *lab) (bool, error) {
	l.store.put("op", "config", configuration(7, 15,
		routeOf{Name: "lodge", Prefix: "/lodge/", Kind: "unsafe", TimeoutS: 2, TargetLatencyS: 0.6, Priority: 1, Service: "ledger", Attempts: 2},
		routeOf{Name: "pull", Prefix: "/pull/", Kind: "safe", TimeoutS: 1.5, TargetLatencyS: 0.4, Priority: 2, Service: "ledger", Attempts: 2}))
	var mu sync.Mutex
	var crashes []time.Time
	configure := func(s *server) {
		s.work = func(r *http.Request) time.Duration {
			if r.Method == http.MethodPost {
				return lodgeTime
			}
			return 20 * time.Millisecond
		}
		s.crashes = func(r *http.Request) bool {
			if !strings.HasSuffix(r.RequestURI, "/poison") {
				return false
			}
			mu.Lock()
			defer mu.Unlock()
			crashes = append(crashes, time.Now())
			go func() {
				time.Sleep(crashDownTime)
				if err := s.start(); err != nil {
					l.record.say("server %s: can't start: %v", s.id, err)
				}
			}()
			return true
		}
	}
	for _, m := range []struct{ name, zone string }{{"a1", "zone-a"}, {"a2", "zone-a"}, {"b1", "zone-b"}, {"b2", "zone-b"}, {"c1", "zone-c"}} {
		if err := l.add(m.name, m.zone, "ledger", configure); err != nil {
			return false, err
		}
	}
	if err := l.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	poison(l, l.machines[0])
	for n := range restartCount {
		time.Sleep(crashDownTime + 2*time.Second)
		l.record.say("the request comes again, %d crashes so far", count(&mu, &crashes))
		poison(l, l.machines[1])
		time.Sleep(quietTime - crashDownTime - 2*time.Second)
		if err := l.restartAll(); err != nil {
			return false, err
		}
		time.Sleep(livenessTime + 500*time.Millisecond)
		l.record.say("the request comes again, %d crashes so far", count(&mu, &crashes))
		failed := l.lodge()
		if n == restartCount-1 {
			go poison(l, l.machines[1])
			go poison(l, l.machines[2])
		}
		poison(l, l.machines[0])
		l.record.say("%d of %d unsafe requests of others, which ran at the servers by then, were no success", failed(), len(l.machines))
	}
	time.Sleep(3 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for i, at := range crashes {
		if i >= 3 && at.Sub(crashes[2]) > livenessTime {
			late++
		}
	}
	l.record.say("BUDGET: the request has crashed %d servers; it reached one %d times later than livenessS after it had crashed the third, the rule allows %d", len(crashes), late, freeRetries)
	return late > freeRetries, nil
}

// count returns the number of crashes so far.
func count(mu *sync.Mutex, crashes *[]time.Time) int {
	mu.Lock()
	defer mu.Unlock()
	return len(*crashes)
}

// restartAll stops and starts the daemons in turn, unless the case is played without its disruption.
func (l *lab) restartAll() error {
	if !l.isTrouble {
		time.Sleep(time.Duration(len(l.machines)) * 2500 * time.Millisecond)
		return nil
	}
	for _, m := range l.machines {
		m.terminate()
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}
