package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// uploadSize is the size of a large body in bytes, below maxBodyBytes of the configuration.
const uploadSize = 16 << 20

// checkMemory keeps status requests going on kept connections at all machines, while clients send notices whose bodies are
// within the operator's limit. As on the users' platform, a daemon that exceeds memoryMb is killed and started again.
func checkMemory(f *fleet, isTroubled bool) ([]string, error) {
	for range 8 {
		s := newServer(9, 400*time.Millisecond)
		s.isQuiet = true
		f.add("desk", s)
	}
	for range 3 {
		f.add("ledger", newServer(9, 1800*time.Millisecond))
	}
	f.putConfiguration(`{"version":"00000003","services":[{"name":"desk","healthCheckPath":"/healthz","maxConnections":120,"protocol":"h1","tls":false},{"name":"ledger","healthCheckPath":"/healthz","maxConnections":120,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},"virtualHosts":[{"hostname":"desk.example","paths":[` +
		`{"name":"r-status","prefix":"/status/","kind":"safe","timeoutS":1.5,"targetLatencyS":0.5,"priority":2,"service":"desk","attempts":2},` +
		`{"name":"r-notice","prefix":"/notices/","kind":"unsafe","timeoutS":4,"targetLatencyS":0.6,"priority":1,"service":"ledger","attempts":2}]}]}`)
	if err := f.start(); err != nil {
		return nil, err
	}
	w := &memoryWatch{fleet: f, peaks: map[string]float64{}, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	k := &keptClients{stop: make(chan struct{}), lost: map[string]*machine{}}
	for _, m := range f.machines {
		for range 6 {
			k.group.Go(func() { k.run(m) })
		}
	}
	size := 1500
	if isTroubled {
		size = uploadSize
	}
	body := bytes.Repeat([]byte("notice. "), size/8)
	var uploads sync.WaitGroup
	for range 10 {
		if w.killed.Load() >= 2 {
			break
		}
		for _, m := range f.machines {
			for range 3 {
				time.Sleep(40 * time.Millisecond)
				uploads.Go(func() {
					m.send(request{id: newID(), method: http.MethodPost, host: "desk.example", target: "/notices/1", deadlineMS: 6000, body: body})
				})
			}
		}
		uploads.Wait()
		time.Sleep(2 * time.Second)
	}
	close(k.stop)
	k.group.Wait()
	close(w.stop)
	<-w.done
	f.record.line("largest memory of a daemon by machine, in MB: %v; ends for memory: %v", w.peaks, w.ends)
	if k.served < 100 {
		return nil, fmt.Errorf("only %d status requests were served", k.served)
	}
	ran := map[string]bool{}
	for _, r := range f.allRuns() {
		ran[r.id] = true
	}
	lost := map[string]int{}
	for id, m := range k.lost {
		if ran[id] {
			lost[m.name]++
		}
	}
	var broken []string
	for name, n := range lost {
		if n > 3 {
			broken = append(broken, fmt.Sprintf("LOST: %s passed on %d requests from kept connections, which servers ran, and closed these connections without an answer; its daemon ended %d times for %0.f MB of memory, %d are allowed", name, n, w.ends[name], w.peaks[name], sheetMemoryMB))
		}
	}
	return broken, nil
}

// memoryWatch plays the platform: it kills a daemon that exceeds its memory, and starts it again.
type memoryWatch struct {
	fleet      *fleet
	peaks      map[string]float64
	ends       map[string]int
	killed     atomic.Int32
	stop, done chan struct{}
}

func (w *memoryWatch) run() {
	defer close(w.done)
	w.ends = map[string]int{}
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		for _, m := range w.fleet.machines {
			used := m.residentMB()
			w.peaks[m.name] = max(w.peaks[m.name], used)
			if used <= float64(m.memoryMB) {
				continue
			}
			w.ends[m.name]++
			w.killed.Add(1)
			w.fleet.record.line("platform: the daemon of %s takes %.0f MB of %d and is killed", m.name, used, m.memoryMB)
			m.kill()
			time.Sleep(500 * time.Millisecond)
			if err := m.start(false); err != nil {
				w.fleet.record.line("platform: %v", err)
			}
		}
	}
}

// keptClients send one request after the other on kept connections.
type keptClients struct {
	stop   chan struct{}
	group  sync.WaitGroup
	mu     sync.Mutex
	served int
	// lost holds the requests of which the connection ended without an answer, with the machine.
	lost map[string]*machine
}

func (k *keptClients) run(m *machine) {
	for {
		c, err := net.DialTimeout("tcp", m.address(portOutbound), time.Second)
		if err == nil {
			k.use(m, c)
			_ = c.Close()
		}
		select {
		case <-k.stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// use sends requests on a connection until it ends.
func (k *keptClients) use(m *machine, c net.Conn) {
	r := bufio.NewReader(c)
	isKept := false
	for {
		q := request{id: newID(), method: http.MethodGet, host: "desk.example", target: "/status/1", deadlineMS: 3000, isQuiet: true}
		a := m.exchange(c, r, q)
		k.mu.Lock()
		switch {
		case a.status == http.StatusOK:
			k.served++
		case a.status == 0 && isKept && !isTimeout(a.err):
			k.lost[q.id] = m
			m.fleet.record.line("client at %s: the kept connection ended without an answer to %s: %v", m.name, q.id, a.err)
		}
		k.mu.Unlock()
		if a.err != nil || a.header.Get("Connection") == "close" {
			return
		}
		isKept = true
		select {
		case <-k.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// isTimeout reports whether an error means that the client gave up.
func isTimeout(err error) bool {
	n, ok := err.(net.Error)
	return ok && n.Timeout()
}
