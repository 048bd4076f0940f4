package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// The limits of most machines on the sheet of the deployment lamplight-kgn-grown.
const (
	grownMemoryMB = 184
	grownLinkMbps = 10.5
)

// grownBounds are the bounds of that deployment which differ from those of settingsText.
const grownBounds = `bounds.ackS=5
bounds.catchUpS=6
bounds.drainS=2.5
bounds.configS=2.5
bounds.budgetSlack=200
`

const (
	// pullSize is the mean size of the answer to a download on the sheet, in bytes.
	pullSize = 90000
	// attachmentSize is the size of the large body in bytes, a 21st of maxBodyBytes of the configuration. The link of the
	// machine takes 2.4 s for it.
	attachmentSize   = 3 << 20
	attachmentPeriod = 4500 * time.Millisecond
	// pullTimeout is timeoutS of the route of the downloads, and answerSlack the half second of the rule.
	pullTimeout = 2500 * time.Millisecond
	answerSlack = 500 * time.Millisecond
)

// checkLink has one client send an unsafe request with a large body every 4.5 s at one machine, beside downloads at
// all machines, and counts the downloads without an answer there.
func checkLink(f *fleet, isTroubled bool) ([]string, error) {
	f.extra = grownBounds
	for range 4 {
		f.addGrown("desk", newServer(9, 230*time.Millisecond))
	}
	for range 4 {
		s := newServer(9, 140*time.Millisecond)
		s.isQuiet = true
		s.answer = func(string, string) []byte { return bytes.Repeat([]byte("ledger. "), pullSize/8) }
		f.addGrown("ledger", s)
	}
	f.putConfiguration(`{"version":"00000003","services":[{"name":"desk","healthCheckPath":"/healthz","maxConnections":540,"protocol":"h1","tls":false},{"name":"ledger","healthCheckPath":"/healthz","maxConnections":540,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},"virtualHosts":[{"hostname":"desk.example","paths":[` +
		`{"name":"r-lodge","prefix":"/loans/","kind":"unsafe","timeoutS":3,"targetLatencyS":0.8,"priority":1,"service":"desk","attempts":2},` +
		`{"name":"r-pull","prefix":"/pulls/","kind":"download","timeoutS":2.5,"targetLatencyS":0.8,"priority":2,"service":"ledger","attempts":2}]}]}`)
	if err := f.start(); err != nil {
		return nil, err
	}
	burdened := f.machines[len(f.machines)-1]
	w := &linkWatch{machine: burdened, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	size := 1500
	if isTroubled {
		size = attachmentSize
	}
	end := time.Now().Add(50 * time.Second)
	var group sync.WaitGroup
	pulls := map[string]*pullClients{}
	for _, m := range f.machines {
		p := &pullClients{machine: m}
		pulls[m.name] = p
		group.Go(func() { p.run(end) })
	}
	body := bytes.Repeat([]byte("notice. "), size/8)
	lodged := 0
	for i := 0; time.Now().Before(end); i++ {
		next := time.Now().Add(attachmentPeriod)
		a := burdened.send(request{id: newID(), method: http.MethodPost, host: "desk.example", target: fmt.Sprintf("/loans/%d", i), deadlineMS: 6000, body: body})
		if a.status == http.StatusOK {
			lodged++
		}
		time.Sleep(time.Until(next))
	}
	group.Wait()
	close(w.stop)
	<-w.done
	f.record.line("%s: %d requests with a body of %d bytes served; it wrote %.1f MB in %.0f s, of %.1f MB that its link carries; the longest wait at its link was %v", burdened.name, lodged, size, w.written/1e6, w.span.Seconds(), grownLinkMbps/8*w.span.Seconds(), w.longest)
	if w.longest > answerSlack {
		return nil, fmt.Errorf("packets of %s would have waited for %v at its link: it counts as slowed", burdened.name, w.longest)
	}
	ran := map[string]bool{}
	for _, r := range f.allRuns() {
		ran[r.id] = true
	}
	var broken []string
	for _, m := range f.machines {
		p := pulls[m.name]
		atTimeout, later, executed := p.unanswered(ran)
		f.record.line("%s: %d downloads, %d served, %d unanswered at timeoutS, %d of these half a second later, of which %d had run", m.name, len(p.ended), p.served(), atTimeout, later, executed)
		if later >= 10 && 2*later > atTimeout {
			broken = append(broken, fmt.Sprintf("CONFIG: of %d downloads at %s, %d were unanswered at timeoutS, and %d of these had no answer half a second later; servers had run %d of them", len(p.ended), m.name, atTimeout, later, executed))
		}
	}
	if served := pulls[f.machines[0].name].served(); served < 30 {
		return nil, fmt.Errorf("only %d downloads were served at %s", served, f.machines[0].name)
	}
	return broken, nil
}

// addGrown adds a machine with the limits of the deployment lamplight-kgn-grown.
func (f *fleet) addGrown(service string, s *server) {
	m := f.add(service, s)
	m.memoryMB, m.linkMbps = grownMemoryMB, grownLinkMbps
}

// pull is a download that has ended.
type pull struct {
	id     string
	took   time.Duration
	status int
}

// pullClients send one download a second at one machine, each on a new connection.
type pullClients struct {
	machine *machine

	mu    sync.Mutex
	ended []pull
}

func (p *pullClients) run(end time.Time) {
	var group sync.WaitGroup
	for i := 0; time.Now().Before(end); i++ {
		group.Go(func() {
			q := request{id: newID(), method: http.MethodGet, host: "desk.example", target: fmt.Sprintf("/pulls/%d", i), deadlineMS: 4000, isQuiet: true}
			began := time.Now()
			a := p.machine.send(q)
			x := pull{id: q.id, took: time.Since(began), status: a.status}
			if x.status != http.StatusOK || x.took > pullTimeout {
				p.machine.fleet.record.line("client at %s: download %s: status %d after %v, error %v", p.machine.name, x.id, x.status, x.took, a.err)
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			p.ended = append(p.ended, x)
		})
		time.Sleep(time.Second)
	}
	group.Wait()
}

// served returns the number of whole successes.
func (p *pullClients) served() int {
	count := 0
	for _, x := range p.ended {
		if x.status == http.StatusOK {
			count++
		}
	}
	return count
}

// unanswered returns how many downloads had no answer at the timeout of their route, how many of these half a second
// later, and how many of the latter servers had run.
func (p *pullClients) unanswered(ran map[string]bool) (atTimeout, later, executed int) {
	for _, x := range p.ended {
		if x.took <= pullTimeout {
			continue
		}
		atTimeout++
		if x.took <= pullTimeout+answerSlack {
			continue
		}
		later++
		if ran[x.id] {
			executed++
		}
	}
	return atTimeout, later, executed
}

// linkWatch computes how long packets would wait at the link of a machine, from the bytes that its daemon writes. These
// include its log and what it sends to the server on its own machine, so that the true wait is shorter.
type linkWatch struct {
	machine    *machine
	written    float64
	span       time.Duration
	longest    time.Duration
	stop, done chan struct{}
}

func (w *linkWatch) run() {
	defer close(w.done)
	const rate = grownLinkMbps / 8 * 1e6
	began, first := time.Now(), w.machine.writtenBytes()
	last, before, queued := began, first, 0.0
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		now, total := time.Now(), w.machine.writtenBytes()
		queued = max(0, queued+total-before-rate*now.Sub(last).Seconds())
		w.longest = max(w.longest, time.Duration(queued/rate*float64(time.Second)))
		w.written, w.span = total-first, now.Sub(began)
		last, before = now, total
	}
}

// writtenBytes returns the bytes that the daemon has written to files and connections, as the kernel counts them.
func (m *machine) writtenBytes() float64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", m.pid()))
	if err != nil {
		return 0
	}
	var read, written float64
	_, _ = fmt.Sscanf(string(content), "rchar: %f\nwchar: %f", &read, &written)
	return written
}
