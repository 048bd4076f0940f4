package main

import (
	"net/http"
	"sync"
	"time"
)

// The times of the case, from the acknowledgement of the leaving server.
const (
	// killAfter is when all daemons are killed at once, and downTime how long they are down.
	killAfter = 50 * time.Millisecond
	downTime  = 500 * time.Millisecond
	// lateBy is how late the last heartbeat that the server sent before it left arrives.
	lateBy = 4800 * time.Millisecond
	// watchTime is how long the server goes on serving.
	watchTime = 9 * time.Second
)

// playDrain: a server says that it is gone; its daemon acknowledges that, and all daemons are killed and start again. A
// heartbeat that the server sent before arrives late.
func playDrain(l *lab) (bool, error) {
	l.store.put("op", "config", configuration(7, 15,
		routeOf{Name: "status", Prefix: "/status/", Kind: "safe", TimeoutS: 1.5, TargetLatencyS: 0.5, Priority: 2, Service: "desk", Attempts: 2},
		routeOf{Name: "lodge", Prefix: "/lodge/", Kind: "unsafe", TimeoutS: 2, TargetLatencyS: 0.6, Priority: 1, Service: "desk", Attempts: 2}))
	var mu sync.Mutex
	var runs []run
	configure := func(s *server) {
		s.work = func(*http.Request) time.Duration { return 140 * time.Millisecond }
		s.onRun = func(x run) {
			mu.Lock()
			defer mu.Unlock()
			runs = append(runs, x)
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
	time.Sleep(2 * time.Second)
	stop := l.startTraffic(100*time.Millisecond, 2)
	defer stop()
	time.Sleep(4 * time.Second)

	leaving := l.servers[0]
	late := leaving.beat("ready")
	beatSent := time.Now()
	l.record.say("server %s: a heartbeat (ready) is on its way", leaving.id)
	time.Sleep(200 * time.Millisecond)
	acknowledged, err := leaving.leave()
	if err != nil {
		return false, err
	}
	l.record.say("server %s: its leave is acknowledged", leaving.id)
	if l.isTrouble {
		time.Sleep(killAfter)
		for _, m := range l.machines {
			_ = m.process.Process.Kill()
		}
		for _, m := range l.machines {
			m.kill()
		}
		time.Sleep(downTime)
		for _, m := range l.machines {
			if err := m.start(); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(time.Until(beatSent.Add(lateBy)))
	err = leaving.send(late)
	l.record.say("server %s: the late heartbeat has arrived, error %v", leaving.id, err)
	time.Sleep(time.Until(acknowledged.Add(watchTime)))
	stop()
	leaving.crash()

	mu.Lock()
	defer mu.Unlock()
	broken, others := 0, 0
	for _, x := range runs {
		if x.at.Before(acknowledged.Add(drainTime)) {
			continue
		}
		if x.server != leaving.id {
			others++
			continue
		}
		if l.inTouch(x.at) {
			broken++
			l.record.say("DRAIN: %s reached %s %.3f s after its leave was acknowledged", x.id, x.server, x.at.Sub(acknowledged).Seconds())
		}
	}
	l.record.say("later than drainS after the acknowledgement: %d requests reached the server that left, %d the others", broken, others)
	return broken > 0, nil
}

// inTouch reports whether all daemons have run for livenessS at a time.
func (l *lab) inTouch(at time.Time) bool {
	for _, m := range l.machines {
		if at.Before(m.started.Add(livenessTime)) {
			return false
		}
	}
	return true
}

// startTraffic starts clients at each machine, each of which sends requests with a pause between them, and returns the
// function that ends them.
func (l *lab) startTraffic(pause time.Duration, clients int) (stop func()) {
	ended := make(chan struct{})
	var once sync.Once
	var group sync.WaitGroup
	for _, m := range l.machines {
		for k := range clients {
			group.Add(1)
			go func() {
				defer group.Done()
				for {
					select {
					case <-ended:
						return
					case <-time.After(pause):
					}
					q := request{id: newID(), method: http.MethodGet, target: "/status/1", deadline: 3 * time.Second}
					if k%2 == 1 {
						q = request{id: newID(), method: http.MethodPost, target: "/lodge/1", body: "loan", deadline: 4 * time.Second}
					}
					send(m, l.record, q)
				}
			}()
		}
	}
	return func() {
		once.Do(func() { close(ended) })
		group.Wait()
	}
}
