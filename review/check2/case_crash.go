package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// livenessTime is livenessS of the settings.
const livenessTime = 3 * time.Second

// checkCrash sends, again and again, one request that crashes the server which runs it, beside usual requests. The server is
// back after two seconds: with the disruption under the ID that it had, otherwise under a new one.
func checkCrash(f *fleet, isTroubled bool) ([]string, error) {
	isPoison := func(target string) bool { return strings.HasPrefix(target, "/ledger/bad") }
	ledger := newServer(9, 300*time.Millisecond)
	ledger.crashes = isPoison
	f.add("ledger", ledger)
	for range 3 {
		f.add("desk", newServer(9, 100*time.Millisecond))
	}
	f.putConfiguration(`{"version":"00000003","services":[{"name":"desk","healthCheckPath":"/healthz","maxConnections":120,"protocol":"h1","tls":false},{"name":"ledger","healthCheckPath":"/healthz","maxConnections":120,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},"virtualHosts":[{"hostname":"desk.example","paths":[` +
		`{"name":"r-ledger","prefix":"/ledger/","kind":"unsafe","timeoutS":2,"targetLatencyS":0.5,"priority":1,"service":"ledger","attempts":2}]}]}`)
	if err := f.start(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var restarts sync.WaitGroup
	restarts.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			if ledger.isRunning() {
				continue
			}
			time.Sleep(2 * time.Second)
			if !isTroubled {
				ledger.rename()
			}
			if err := ledger.start(); err != nil {
				f.record.line("server %s: %v", ledger.id, err)
			}
		}
	})
	var group sync.WaitGroup
	var mu sync.Mutex
	served, unknown := 0, 0
	for i := range 12 {
		for k := range 3 {
			group.Go(func() {
				a := f.machines[1+k].send(request{id: newID(), method: http.MethodPost, host: "desk.example", target: fmt.Sprintf("/ledger/%d-%d", i, k), deadlineMS: 2500, body: []byte("one reminder")})
				mu.Lock()
				defer mu.Unlock()
				switch a.status {
				case http.StatusOK:
					served++
				case http.StatusBadGateway, http.StatusGatewayTimeout:
					unknown++
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		f.machines[1+i%3].send(request{id: newID(), method: http.MethodPost, host: "desk.example", target: "/ledger/bad", deadlineMS: 2500, body: []byte("one reminder")})
		time.Sleep(4 * time.Second)
	}
	group.Wait()
	close(stop)
	restarts.Wait()
	f.record.line("other requests: %d served, %d accepted and lost with the server that ran them", served, unknown)
	if served+unknown < 18 {
		return nil, fmt.Errorf("only %d requests were served", served)
	}
	runs := f.allRuns()
	runs = slices.DeleteFunc(runs, func(r run) bool { return !isPoison(r.target) })
	slices.SortFunc(runs, func(a, b run) int { return a.at.Compare(b.at) })
	f.record.line("the request crashed a server %d times", len(runs))
	if len(runs) < 3 {
		return nil, nil
	}
	late := slices.DeleteFunc(slices.Clone(runs), func(r run) bool { return r.at.Sub(runs[2].at) <= livenessTime })
	if len(late) > 3 {
		return []string{fmt.Sprintf("BUDGET: the request that crashes servers reached one %d times later than livenessS after it had crashed the third, 3 are allowed; %d other requests were lost with the servers", len(late), unknown)}, nil
	}
	return nil, nil
}

func (s *server) isRunning() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isUp
}

// rename gives the server a new ID.
func (s *server) rename() {
	s.mu.Lock()
	defer s.mu.Unlock()
	serverCount++
	s.id = fmt.Sprintf("i-%04d", serverCount)
}
