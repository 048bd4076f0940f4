package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The quota of the organisation, with a burst as large as the rate, as on the users' pages.
const (
	quotaRate  = 40
	quotaBurst = 40
)

// The bounds of the deployment pvmu-integrity-grown that the rule names.
const (
	quotaWindow = 5 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 20
	quotaBounds = `bounds.drainS=2.5
bounds.configS=2.5
bounds.ackS=5
bounds.catchUpS=6
bounds.budgetSlack=172
bounds.quotaWindowS=5
bounds.quotaOver=0.1
bounds.quotaSlack=20
`
)

const (
	// floods is the number of organisations that flood, one after the other, each for floodTime with one stop.
	floods    = 4
	floodTime = 12 * time.Second
	// restartDelay is the time from the end of a daemon to its next start.
	restartDelay = 300 * time.Millisecond
)

// checkQuota has the clients of one organisation after the other ask for six times its quota at six machines, while the
// daemons are stopped and started again, and counts how many of its requests servers run.
func checkQuota(f *fleet, isTroubled bool) ([]string, error) {
	f.extra = quotaBounds
	for range 6 {
		s := newServer(18, 0)
		s.isQuiet = true
		s.work = viewWork()
		f.add("viewer", s)
	}
	var tenants []string
	for i := range floods {
		tenants = append(tenants, fmt.Sprintf(`{"name":"tenant-%d","apiKeys":["%s"],"priority":1,"ratePerS":%d,"burst":%d}`, i, floodKey(i), quotaRate, quotaBurst))
	}
	f.putConfiguration(`{"version":"00000003","tenants":[` + strings.Join(tenants, ",") + `],"services":[{"name":"viewer","healthCheckPath":"/healthz","maxConnections":460,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},"virtualHosts":[{"hostname":"desk.example","paths":[` +
		`{"name":"r-view","prefix":"/views/","kind":"safe","timeoutS":1.5,"targetLatencyS":0.8,"priority":0,"service":"viewer","attempts":2,"public":false}]}]}`)
	if err := f.start(); err != nil {
		return nil, err
	}
	r := &readiness{fleet: f, misses: map[*machine]int{}, stop: make(chan struct{})}
	defer close(r.stop)
	for _, m := range f.machines {
		go r.watch(m)
	}
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOver) + quotaSlack
	var broken []string
	for i := range floods {
		c := &quotaClients{key: floodKey(i), sent: map[string]time.Time{}, statuses: map[int]int{}}
		end := time.Now().Add(floodTime)
		var group sync.WaitGroup
		for _, m := range f.machines {
			group.Go(func() { c.run(m, r, end) })
		}
		time.Sleep(4 * time.Second)
		if isTroubled {
			f.stopAndStart()
		}
		group.Wait()
		most, from := c.most(f.allRuns())
		f.record.line("tenant-%d: answers by status %v; at most %d requests were sent and run within %v, %.0f allowed, from %.3f on", i, c.statuses, most, quotaWindow, allowed, from.Sub(f.record.began).Seconds())
		if c.statuses[http.StatusOK] < 100 {
			return nil, fmt.Errorf("only %d requests were served", c.statuses[http.StatusOK])
		}
		if float64(most) > allowed {
			broken = append(broken, fmt.Sprintf("QUOTA: %d requests of tenant-%d were sent and run within %v, %.0f are allowed", most, i, quotaWindow, allowed))
		}
	}
	return broken, nil
}

func floodKey(i int) string { return fmt.Sprintf("3nr26tta828m82thhk%02d", i) }

// viewWork returns how long a request runs: the mean of report-view on the sheet, and its longest time for one in fifty.
func viewWork() func(string) time.Duration {
	var count atomic.Int64
	return func(string) time.Duration {
		if count.Add(1)%50 == 0 {
			return 1700 * time.Millisecond
		}
		return 290 * time.Millisecond
	}
}

// stopAndStart stops all daemons with SIGTERM, and starts each again once it has ended.
func (f *fleet) stopAndStart() {
	var group sync.WaitGroup
	for _, m := range f.machines {
		f.record.line("platform: SIGTERM to %s", m.name)
		m.signal(syscall.SIGTERM)
		group.Go(func() {
			m.awaitEnd()
			time.Sleep(restartDelay)
			if err := m.start(false); err != nil {
				f.record.line("platform: %v", err)
			}
		})
	}
	group.Wait()
}

// graceTime is graceS of the settings.
const graceTime = 6 * time.Second

// awaitEnd waits until the daemon has ended, and kills it after the grace.
func (m *machine) awaitEnd() {
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(graceTime):
		m.kill()
	}
}

// readiness plays the platform's question to each daemon once a second.
type readiness struct {
	fleet *fleet
	mu    sync.Mutex
	// misses counts the misses in a row.
	misses map[*machine]int
	stop   chan struct{}
}

func (r *readiness) watch(m *machine) {
	client := http.Client{Timeout: time.Second}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		isReady := false
		if response, err := client.Get("http://" + m.address(portReady) + "/readyz"); err == nil {
			_ = response.Body.Close()
			isReady = response.StatusCode == http.StatusOK
		}
		r.mu.Lock()
		r.misses[m]++
		if isReady {
			r.misses[m] = 0
		}
		r.mu.Unlock()
		select {
		case <-r.stop:
			return
		case <-ticker.C:
		}
	}
}

// isServed reports whether the clients at a machine get new work: not after two misses, unless fewer than half of the
// daemons of its zone are in.
func (r *readiness) isServed(m *machine) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	all, in := 0, 0
	for _, other := range r.fleet.machines {
		if other.zone != m.zone {
			continue
		}
		all++
		if r.misses[other] < 2 {
			in++
		}
	}
	return r.misses[m] < 2 || 2*in < all
}

// quotaClients send the requests of one organisation, quotaRate a second at each machine.
type quotaClients struct {
	key      string
	mu       sync.Mutex
	sent     map[string]time.Time
	statuses map[int]int
}

func (q *quotaClients) run(m *machine, r *readiness, end time.Time) {
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Second / quotaRate)
	defer ticker.Stop()
	for time.Now().Before(end) {
		<-ticker.C
		if !r.isServed(m) {
			continue
		}
		group.Go(func() {
			x := request{id: newID(), method: http.MethodGet, host: "desk.example", target: "/views/1", deadlineMS: 3000, headers: "Authorization: Bearer " + q.key + "\r\n", isQuiet: true}
			q.mu.Lock()
			q.sent[x.id] = time.Now()
			q.mu.Unlock()
			a := m.send(x)
			q.mu.Lock()
			q.statuses[a.status]++
			q.mu.Unlock()
		})
	}
	group.Wait()
}

// most returns the largest number of requests that were both sent and run within a window, and when that window began.
func (q *quotaClients) most(runs []run) (most int, from time.Time) {
	slices.SortFunc(runs, func(a, b run) int { return a.at.Compare(b.at) })
	runs = slices.DeleteFunc(runs, func(r run) bool { return q.sent[r.id].IsZero() })
	for _, first := range runs {
		begin := q.sent[first.id]
		count := 0
		for _, r := range runs {
			if !q.sent[r.id].Before(begin) && r.at.Before(begin.Add(quotaWindow)) {
				count++
			}
		}
		if count > most {
			most, from = count, begin
		}
	}
	return most, from
}
