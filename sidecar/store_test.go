package sidecar_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/standin/platform"
)

func TestANewerConfigurationComesIntoForceEverywhere(t *testing.T) {
	d := newDeployment(t)
	d.configure(1, "desk")
	desk, hub := d.add("desk"), d.add("hub")
	d.await(hub, "server-0")
	// The daemons can't read the changes since version 1 any more and have to list the table again.
	d.store.Compact()
	d.configure(2, "hub")
	d.await(desk, "server-1")
	d.await(hub, "server-1")
	d.configure(1, "desk")
	for range 50 {
		_, server := d.get(desk)
		assert.Equal(t, server, "server-1", "an older version does not come back")
	}
}

func TestAConfigurationThatFollowsTheReturnOfAnOlderCopyComesIntoForce(t *testing.T) {
	for _, c := range []struct {
		name string
		// writes is the number of transactions between the return and the next configuration.
		writes int
	}{{"below the versions of before", 0}, {"at the last version of before", 1}, {"above the versions of before", 3}} {
		t.Run(c.name, func(t *testing.T) {
			d := newDeployment(t)
			d.configure(1, "desk")
			desk, hub := d.add("desk"), d.add("hub")
			d.await(hub, "server-0")
			older := d.store.Copy()
			d.configure(2, "desk")
			d.configure(3, "hub")
			d.await(desk, "server-1")
			d.await(hub, "server-1")
			d.store.Restore(older)
			d.configure(3, "hub")
			for n := range c.writes {
				d.store.PutAsOperator("op", fmt.Sprint("other-", n), nil)
			}
			d.configure(4, "desk")
			d.await(desk, "server-0")
			d.await(hub, "server-0")
		})
	}
}

func TestADaemonThatStartsAfterTheStoreLostItsRowsFindsTheOthers(t *testing.T) {
	d := newDeployment(t)
	older := d.store.Copy()
	d.configure(1, "desk")
	desk := d.add("desk")
	d.await(desk, "server-0")
	d.store.Restore(older)
	d.configure(1, "desk")
	hub := d.add("hub")
	d.await(hub, "server-0")
}

func TestADaemonStartedWhileTheStoreIsDownLearnsFromOtherDaemons(t *testing.T) {
	d := newDeployment(t)
	d.configure(1, "desk")
	desk, hub := d.add("desk"), d.add("hub")
	d.await(hub, "server-0")
	d.store.SetFault(platform.Fault{Mode: platform.ModeDown})
	hub.stop()
	<-hub.ended
	d.start(hub)
	// The other daemon probes the address that it knows, so no seed is needed.
	d.await(hub, "server-0")
	d.await(desk, "server-0")
}

// livenessBound is the time after the end of a fault of the store within which all daemons handle requests by the newest
// configuration.
const livenessBound = 3 * time.Second

func TestAConfigurationWhoseAnswersTheStoreLostIsInForceInTime(t *testing.T) {
	for _, c := range []struct {
		mode    platform.Mode
		silence time.Duration
	}{
		{platform.ModeSilent, 200 * time.Millisecond}, {platform.ModeSilent, 1500 * time.Millisecond}, {platform.ModeSilent, 4500 * time.Millisecond}, {platform.ModeSilent, 9 * time.Second},
		{platform.ModeHeadOnly, 200 * time.Millisecond}, {platform.ModeHeadOnly, 3 * time.Second},
	} {
		t.Run(fmt.Sprintf("%s for %v", c.mode, c.silence), func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.configure(1, "desk")
			desk, hub := d.add("desk"), d.add("hub")
			d.await(desk, "server-0")
			d.await(hub, "server-0")
			d.awaitWaitingCalls(2)
			d.store.SetFault(platform.Fault{Mode: c.mode})
			d.configure(2, "hub")
			time.Sleep(c.silence)
			d.store.SetFault(platform.Fault{Mode: platform.ModeNone})
			end := time.Now()
			d.await(desk, "server-1")
			d.await(hub, "server-1")
			took := time.Since(end)
			assert.Check(t, took <= livenessBound, "in force %v after the end of the silence", took)
		})
	}
}

func TestAConfigurationIsInForceInTimeAfterAllConnectionsToTheStoreWentSilent(t *testing.T) {
	d := newDeployment(t)
	d.configure(1, "desk")
	desk, hub := d.add("desk"), d.add("hub")
	d.await(desk, "server-0")
	d.await(hub, "server-0")
	d.awaitWaitingCalls(2)
	// The daemons keep idle connections beside those of the calls that wait.
	time.Sleep(2 * time.Second)
	d.store.SilenceConnections()
	silenced := time.Now()
	d.configure(2, "hub")
	d.await(desk, "server-1")
	d.await(hub, "server-1")
	took := time.Since(silenced)
	t.Log("in force after", took)
	assert.Check(t, took <= livenessBound, "in force %v after the connections went silent", took)
}

// configurationBound is the time within which a configuration has to be in force at a daemon that can reach the store.
const configurationBound = 2 * time.Second

// newRelayedDeployment returns a deployment of daemons in three data centres, of which just the relays wait at the store, and
// their names.
func newRelayedDeployment(t *testing.T, daemons int) (d *deployment, relays []string) {
	t.Helper()
	d = newDeployment(t)
	d.configure(1, "desk")
	for n := range daemons {
		d.addIn(fmt.Sprint("zone-", n%3), "desk")
	}
	for _, i := range d.instances {
		d.awaitVersion(i, 1)
	}
	// Those that followed the store at the start have left it to the relays by then.
	time.Sleep(5 * time.Second)
	return d, d.awaitWaitingCalls(6)
}

func TestAConfigurationIsInForceInTimeWhileTheStoreIsSilentToTheRelays(t *testing.T) {
	all := func(relays []string) []string { return relays }
	for _, c := range []struct {
		name string
		mode platform.Mode
		// silenced returns the instances to which the store is silent.
		silenced func(relays []string) []string
		// phase is the time since the relays were found.
		phase time.Duration
		// load is the number of clients at each instance.
		load int
	}{
		{name: "all relays", mode: platform.ModeSilent, silenced: all},
		{name: "all relays, later", mode: platform.ModeSilent, silenced: all, phase: 400 * time.Millisecond},
		{name: "all relays, later still", mode: platform.ModeSilent, silenced: all, phase: 800 * time.Millisecond},
		{name: "all relays, the head of each response comes", mode: platform.ModeHeadOnly, silenced: all},
		{name: "all relays, under load", mode: platform.ModeSilent, silenced: all, load: 4},
		{name: "one relay", mode: platform.ModeSilent, silenced: func(relays []string) []string { return relays[:1] }},
		{name: "all relays but one", mode: platform.ModeSilent, silenced: func(relays []string) []string { return relays[1:] }},
		{name: "none", mode: platform.ModeNone, silenced: all},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d, relays := newRelayedDeployment(t, 12)
			stopLoad := d.startLoad(c.load)
			defer stopLoad()
			time.Sleep(c.phase)
			d.store.SetFault(platform.Fault{Mode: c.mode, Callers: c.silenced(relays)})
			d.configure(2, "hub")
			written := time.Now()
			for _, i := range d.instances {
				d.awaitVersion(i, 2)
			}
			took := time.Since(written)
			t.Log("in force everywhere after", took)
			assert.Check(t, took <= configurationBound, "in force everywhere after %v", took)
		})
	}
}

// It guards against a store that serves one machine only, of which nobody knows that it could read the configuration.
func TestAConfigurationIsInForceInTimeAtTheOnlyDaemonThatTheStoreServes(t *testing.T) {
	for seed := range 2 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			d, relays := newRelayedDeployment(t, 30)
			var silenced []string
			var served *instance
			for _, i := range d.instances {
				if served == nil && !slices.Contains(relays, i.settings.Instance) {
					served = i
				} else {
					silenced = append(silenced, i.settings.Instance)
				}
			}
			d.store.SetFault(platform.Fault{Mode: platform.ModeSilent, Callers: silenced})
			d.configure(2, "hub")
			written := time.Now()
			d.awaitVersion(served, 2)
			took := time.Since(written)
			t.Log("in force after", took)
			assert.Check(t, took <= configurationBound, "in force after %v", took)
		})
	}
}

func TestADaemonFindsTheOthersBesideOddRows(t *testing.T) {
	d := newDeployment(t)
	d.configure(1, "desk")
	for key, value := range map[string]string{
		"":                "{}",
		"127.0.0.1:0":     `{"dataCentre":"zone"}`,
		"127.0.0.1:99999": `{"dataCentre":"zone"}`,
		"127.0.0.1:9":     strings.Repeat("[", 20000),
		"0.0.0.0:9":       `{"dataCentre":"zone"}`,
		"127.0.0.1:10":    `{"dataCentre":1e999}`,
		"not an address":  "\xff\x00",
		"127.0.0.1:11":    `{"dataCentre":{}}`,
		"127.0.0.1":       `[]`,
	} {
		d.store.PutAsOperator("daemons", key, []byte(value))
	}
	desk, hub := d.add("desk"), d.add("hub")
	d.await(desk, "server-0")
	d.await(hub, "server-0")
}
