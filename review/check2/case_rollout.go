package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"
)

const (
	// rolloutDuration is durationS of the operator's order, as fleetbench wire shows it.
	rolloutDuration = 12 * time.Second
	// exposeShare and exposeSlack are bounds of the settings.
	exposeShare = 0.1
	exposeSlack = 50
)

// checkRollout lets the operator order a version whose answers fail in part, though only late in the roll-out.
func checkRollout(f *fleet, isTroubled bool) ([]string, error) {
	f.extra = "contracts=base,drain,config,cost,retry,recover,rollout,platform\nbounds.exposeShare=0.1\nbounds.exposeSlack=50\nbounds.rollbackS=5\n"
	isBad := make(chan struct{})
	var answers sync.Mutex
	begun := 0
	for i := range 10 {
		s := newServer(9, 40*time.Millisecond)
		s.isQuiet = true
		if i >= 5 {
			s.version = "v2"
			s.fails = func() bool {
				select {
				case <-isBad:
				default:
					return false
				}
				answers.Lock()
				defer answers.Unlock()
				begun++
				return begun%3 == 0
			}
		}
		f.add("desk", s)
	}
	f.putConfiguration(`{"version":"00000003","services":[{"name":"desk","healthCheckPath":"/healthz","maxConnections":120,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},"virtualHosts":[{"hostname":"desk.example","paths":[` +
		`{"name":"r-lodge","prefix":"/loans/","kind":"unsafe","timeoutS":2,"targetLatencyS":0.6,"priority":1,"service":"desk","attempts":2}]}]}`)
	old, fresh := f.machines[:5], f.machines[5:]
	if err := f.startWith(old); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, m := range f.machines {
		for range 3 {
			clients.Go(func() { lodge(m, stop) })
		}
	}
	time.Sleep(2 * time.Second)
	for _, m := range fresh {
		if err := m.server.start(); err != nil {
			return nil, err
		}
	}
	ordered := time.Now()
	f.store.PutAsOperator("op", "rollout/desk", []byte(fmt.Sprintf(`{"service":"desk","target":"v2","durationS":%v}`, rolloutDuration.Seconds())))
	f.record.line("operator: orders v2 of desk within %v", rolloutDuration)
	if isTroubled {
		time.AfterFunc(rolloutDuration*8/10, func() {
			f.record.line("servers of v2: a third of the answers fail from now on")
			close(isBad)
		})
	}
	state := ""
	for time.Since(ordered) < rolloutDuration+2*time.Second {
		time.Sleep(50 * time.Millisecond)
		next := f.rolloutState("desk")
		if next == state {
			continue
		}
		state = next
		f.record.line("system: status/rollout/desk says %s, %.1f s after the order", state, time.Since(ordered).Seconds())
		if state == "completed" {
			for _, m := range old {
				m.server.crash()
			}
		}
	}
	close(stop)
	clients.Wait()
	all, exposed, failed := 0, 0, 0
	for _, r := range f.allRuns() {
		if r.at.Before(ordered) || r.at.Sub(ordered) > rolloutDuration {
			continue
		}
		all++
		if r.version == "v2" {
			exposed++
		}
		if r.isFailed {
			failed++
		}
	}
	allowed := exposeShare*float64(all) + exposeSlack
	f.record.line("between the order and its deadline %d requests ran, %d of them at v2, of which %d failed; a bad version may get %.0f; state %s", all, exposed, failed, allowed, state)
	if all < 300 {
		return nil, fmt.Errorf("only %d requests ran", all)
	}
	if failed > 0 && float64(exposed) > allowed {
		return []string{fmt.Sprintf("EXPOSURE: the bad version v2 got %d of %d requests between the order and its deadline, %.0f are allowed; %d failed; state %s", exposed, all, allowed, failed, state)}, nil
	}
	return nil, nil
}

// rolloutState returns the state that the system has written for the operator, or an empty text.
func (f *fleet) rolloutState(service string) string {
	response, err := http.Get("http://" + f.storeAt + "/rows-get?" + url.Values{"table": {"status"}, "part": {""}}.Encode())
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return ""
	}
	var page struct {
		Rows []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"rows"`
	}
	if json.Unmarshal(content, &page) != nil {
		return ""
	}
	for _, r := range page.Rows {
		var status struct {
			State string `json:"state"`
		}
		if r.Key == "rollout/"+service && json.Unmarshal(r.Value, &status) == nil {
			return status.State
		}
	}
	return ""
}

// lodge sends one unsafe request after the other on kept connections, ten a second.
func lodge(m *machine, stop <-chan struct{}) {
	for {
		c, err := net.DialTimeout("tcp", m.address(portOutbound), time.Second)
		if err != nil {
			return
		}
		r := bufio.NewReader(c)
		for {
			a := m.exchange(c, r, request{id: newID(), method: http.MethodPost, host: "desk.example", target: "/loans/1", deadlineMS: 4000, body: []byte("one new loan"), isQuiet: true})
			select {
			case <-stop:
				_ = c.Close()
				return
			case <-time.After(60 * time.Millisecond):
			}
			if a.err != nil || a.header.Get("Connection") == "close" {
				break
			}
		}
		_ = c.Close()
	}
}
