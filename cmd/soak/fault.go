package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/rotisserie/eris"

	"siskinspar.example/standin/platform"
)

// fault is a fault that the soak can inject. inject undoes a lasting fault before it returns.
type fault struct {
	name   string
	inject func(ctx context.Context, s *Soak, r *rand.Rand) error
}

// faults returns all kinds of faults. A seed picks them by index, so a new order changes what each seed injects.
func faults() []fault {
	return []fault{
		{"kill", onInstance(kill)},
		{"kill half", killHalf},
		{"stop and start", onInstance(restart)},
		{"freeze", onInstance(freeze)},
		{"hangup", onInstance(hangup)},
		{"store fault", storeFault},
		{"store history compacted", func(_ context.Context, s *Soak, _ *rand.Rand) error { s.store.Compact(); return nil }},
		{"configuration", func(_ context.Context, s *Soak, _ *rand.Rand) error { s.putConfiguration(); return nil }},
		{"server replaced", onInstance(replaceServer)},
		{"server crashes", onInstance(crashServer)},
		{"link to the store", onInstance(func(ctx context.Context, _ *Soak, i *instance, r *rand.Rand) error {
			return addToxic(ctx, i.toStore, r)
		})},
		{"link to the server", onInstance(func(ctx context.Context, s *Soak, i *instance, r *rand.Rand) error {
			defer s.checker.disrupt(i.name)()
			return addToxic(ctx, i.toServer, r)
		})},
		{"store restored from a copy", restoreStore},
		{"configuration while the store is silent", configureSilently},
		{"leave, then all daemons killed, then a late heartbeat", leaveAndKillAll},
	}
}

// onInstance returns an injector that applies a fault to one random instance. It does nothing if another fault is in
// progress on that instance.
func onInstance(inject func(ctx context.Context, s *Soak, i *instance, r *rand.Rand) error) func(context.Context, *Soak, *rand.Rand) error {
	return func(ctx context.Context, s *Soak, r *rand.Rand) error {
		i, ok := s.acquire(r)
		if !ok {
			return nil
		}
		defer s.release(i)
		return inject(ctx, s, i, r)
	}
}

// pause sleeps for a random time shorter than longest.
func pause(r *rand.Rand, longest time.Duration) { time.Sleep(time.Duration(r.Int64N(int64(longest)))) }

// kill kills the daemon with SIGKILL and starts it again within 2 s.
func kill(_ context.Context, s *Soak, i *instance, r *rand.Rand) error {
	defer s.checker.disrupt(i.name)()
	i.process.Kill()
	pause(r, 2*time.Second)
	return i.start()
}

// killHalf kills up to half of the daemons at the same time and starts them again.
func killHalf(_ context.Context, s *Soak, r *rand.Rand) error {
	var killed []*instance
	for range len(s.instances) / 2 {
		if i, ok := s.acquire(r); ok {
			killed = append(killed, i)
			defer s.checker.disrupt(i.name)()
			i.process.Signal(syscall.SIGKILL)
		}
	}
	pause(r, time.Second)
	for _, i := range killed {
		<-i.process.Done()
		if err := i.start(); err != nil {
			return err
		}
		s.release(i)
	}
	return nil
}

// leaveAndKillAll makes a backend server leave, kills all daemons right after that was acknowledged and starts them again.
// A heartbeat from before arrives late. The store works meanwhile, since a leave that it can't keep is lost.
func leaveAndKillAll(ctx context.Context, s *Soak, r *rand.Rand) error {
	s.storeInUse.Lock()
	defer s.storeInUse.Unlock()
	s.acquireAll()
	defer s.releaseAll()
	leaving := s.instances[r.IntN(len(s.instances))]
	sendLate, err := leaving.server.HoldHeartbeat()
	if err != nil {
		return err
	}
	for _, i := range s.instances {
		defer s.checker.disrupt(i.name)()
	}
	acknowledged, err := leaving.server.Leave(ctx)
	if err == nil {
		s.checker.recordDraining(leaving.server.ID, acknowledged)
	}
	s.killAll()
	pause(r, time.Second)
	if err := s.startAll(); err != nil {
		return err
	}
	pause(r, 3*time.Second)
	// The error is ignored: the daemon may not run yet, and then gets no late heartbeat.
	_ = sendLate(ctx)
	time.Sleep(drainTime)
	leaving.server.Crash()
	return leaving.startServer(0)
}

// freeze suspends the daemon with SIGSTOP for up to 3 s.
func freeze(_ context.Context, s *Soak, i *instance, r *rand.Rand) error {
	defer s.checker.disrupt(i.name)()
	i.process.Signal(syscall.SIGSTOP)
	pause(r, 3*time.Second)
	i.process.Signal(syscall.SIGCONT)
	return nil
}

// hangup changes the settings file and sends SIGHUP, so that the daemon reads it again.
func hangup(_ context.Context, _ *Soak, i *instance, r *rand.Rand) error {
	if err := i.writeSettings(fmt.Sprintf("changed=%d\n", r.Int())); err != nil {
		return err
	}
	i.process.Signal(syscall.SIGHUP)
	return nil
}

// storeFault makes the store fail in a random mode for up to 3 s.
func storeFault(_ context.Context, s *Soak, r *rand.Rand) error {
	s.storeInUse.Lock()
	defer s.storeInUse.Unlock()
	modes := []platform.Mode{
		platform.ModeDown, platform.ModeBusy, platform.ModeThrottled, platform.ModeSlow, platform.ModeReset, platform.ModeLostAnswer, platform.ModeDelayedWrite,
	}
	f := platform.Fault{Mode: modes[r.IntN(len(modes))], Delay: time.Duration(r.IntN(1500)) * time.Millisecond}
	s.store.SetFault(f)
	pause(r, 3*time.Second)
	s.store.SetFault(platform.Fault{Mode: platform.ModeNone})
	return nil
}

// configureSilently writes a configuration while the store gives no response, for up to 5 s.
func configureSilently(_ context.Context, s *Soak, r *rand.Rand) error {
	s.storeInUse.Lock()
	defer s.storeInUse.Unlock()
	s.store.SetFault(platform.Fault{Mode: platform.ModeSilent})
	pause(r, 2*time.Second)
	s.putConfiguration()
	pause(r, 3*time.Second)
	s.store.SetFault(platform.Fault{Mode: platform.ModeNone})
	return nil
}

// restoreStore takes a copy of the store, writes up to two configurations within 2 s, and brings the store back from the
// copy after an outage of up to 1 s.
func restoreStore(_ context.Context, s *Soak, r *rand.Rand) error {
	s.storeInUse.Lock()
	defer s.storeInUse.Unlock()
	older := s.store.Copy()
	for range r.IntN(3) {
		pause(r, time.Second)
		s.putConfiguration()
	}
	s.store.SetFault(platform.Fault{Mode: platform.ModeReset})
	pause(r, time.Second)
	s.restoreStore(older)
	s.store.SetFault(platform.Fault{Mode: platform.ModeNone})
	return nil
}

// replaceServer drains the backend server, ends it once it may get no more requests, and starts its next incarnation.
func replaceServer(ctx context.Context, s *Soak, i *instance, r *rand.Rand) error {
	limited, cancel := context.WithTimeout(ctx, graceTime)
	defer cancel()
	acknowledged, err := i.server.Drain(limited)
	if err == nil {
		s.checker.recordDraining(i.server.ID, acknowledged)
	}
	time.Sleep(drainTime + serverProcessingTime)
	pause(r, time.Second)
	i.server.Crash()
	return i.startServer(0)
}

// crashServer ends the backend server without a drain and starts its next incarnation, which may break the connection
// of every 20th or 40th request.
func crashServer(_ context.Context, s *Soak, i *instance, r *rand.Rand) error {
	defer s.checker.disrupt(i.name)()
	i.server.Crash()
	pause(r, 2*time.Second)
	return i.startServer(r.IntN(3) * 20)
}

// addToxic adds one random toxic to a proxied link for up to 3 s: latency, silence, a connection closed after 50 ms or
// 300 bytes, or 2 KB/s of bandwidth, in one direction.
func addToxic(_ context.Context, p *toxiproxy.Proxy, r *rand.Rand) error {
	toxics := []string{
		`{"name":"t","type":"latency","stream":"downstream","attributes":{"latency":150,"jitter":100}}`,
		`{"name":"t","type":"timeout","stream":"downstream","attributes":{"timeout":0}}`,
		`{"name":"t","type":"timeout","stream":"upstream","attributes":{"timeout":0}}`,
		`{"name":"t","type":"timeout","stream":"upstream","attributes":{"timeout":50}}`,
		`{"name":"t","type":"limit_data","stream":"downstream","attributes":{"bytes":300}}`,
		`{"name":"t","type":"bandwidth","stream":"downstream","attributes":{"rate":2}}`,
	}
	if _, err := p.Toxics.AddToxicJson(bytes.NewBufferString(toxics[r.IntN(len(toxics))])); err != nil {
		return eris.Wrap(err, "add a toxic to a proxy")
	}
	pause(r, 3*time.Second)
	return eris.Wrap(p.Toxics.RemoveToxic("t"), "remove the toxic from a proxy")
}

// isReady reports whether the daemon answers its readiness check with 200 within 1 s.
func (i *instance) isReady() bool { return i.status() != "" }

// status returns the body of the answer to the readiness check, or an empty text unless it comes within 1 s with status
// 200.
func (i *instance) status() string {
	c := http.Client{Timeout: time.Second}
	response, err := c.Get("http://" + i.address(portReady) + "/readyz")
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return ""
	}
	return string(body)
}
