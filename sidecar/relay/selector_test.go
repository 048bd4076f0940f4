package relay_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/relay"
)

const (
	// step is the resolution of the virtual time.
	step = 50 * time.Millisecond
	// decisionPeriod is the time between two decisions of a daemon whether it follows the store.
	decisionPeriod = 250 * time.Millisecond
	// probePeriod is the time between two rounds of probes.
	probePeriod = 700 * time.Millisecond
	// probesPerRound is the number of daemons that are probed in a round besides the relays.
	probesPerRound = 16
	// probeTimeout is the time after which a daemon that does not answer a probe counts as unreachable.
	probeTimeout = time.Second
	// configurationBound is the time within which a version has to be in force.
	configurationBound = 3 * time.Second
)

// daemon is one daemon of the simulated mesh, with its own view of the others.
type daemon struct {
	address, centre string
	selector        *relay.Selector
	view            map[string]*relay.Member
	unreachable     map[string]bool
	isDead          bool
	// isRefused is true while the store turns the daemon away.
	isRefused     bool
	isFollowing   bool
	storeFailedAt time.Time
	nextProbe     time.Time
	nextDecision  time.Time
	// pending holds when the unanswered probes time out, by address.
	pending    map[string]time.Time
	version    int
	followedAt int
}

// mesh is a simulated deployment in virtual time.
type mesh struct {
	random  *rand.Rand
	now     time.Time
	daemons []*daemon
	byName  map[string]*daemon
	version int
	calls   int
}

// newMesh returns a mesh in which all daemons know each other.
func newMesh(seed uint64, count, centres int) *mesh {
	m := &mesh{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), byName: map[string]*daemon{}, version: 1}
	for i := range count {
		d := &daemon{address: fmt.Sprintf("d%d", i), centre: fmt.Sprintf("c%d", i%centres), view: map[string]*relay.Member{}, unreachable: map[string]bool{}, pending: map[string]time.Time{}, version: 1}
		d.selector = &relay.Selector{Address: d.address, DataCentre: d.centre, Jitter: m.random.Float64()}
		d.nextProbe = m.now.Add(time.Duration(m.random.Int64N(int64(probePeriod))))
		m.daemons = append(m.daemons, d)
		m.byName[d.address] = d
	}
	for _, d := range m.daemons {
		for _, o := range m.daemons {
			if o != d && o.centre == d.centre {
				d.view[o.address] = &relay.Member{Address: o.address, LastContact: m.now}
			}
		}
	}
	return m
}

// alive returns the daemons of its data centre that a daemon believes to be alive.
func (d *daemon) alive() []relay.Member {
	var alive []relay.Member
	for _, v := range d.view {
		if !d.unreachable[v.Address] {
			alive = append(alive, *v)
		}
	}
	return alive
}

func (m *mesh) isStoreDown(d *daemon) bool {
	return !d.storeFailedAt.IsZero() && m.now.Sub(d.storeFailedAt) < 5*time.Second
}

// run advances the virtual time.
func (m *mesh) run(span time.Duration) {
	for end := m.now.Add(span); m.now.Before(end); m.now = m.now.Add(step) {
		for _, d := range m.daemons {
			if !d.isDead {
				m.advance(d)
			}
		}
	}
}

func (m *mesh) advance(d *daemon) {
	for address, at := range d.pending {
		if m.now.After(at) {
			d.unreachable[address] = true
			delete(d.pending, address)
		}
	}
	if !m.now.Before(d.nextDecision) {
		d.nextDecision = m.now.Add(decisionPeriod)
		must := d.selector.MustFollow(m.now, d.alive(), m.isStoreDown(d), time.Time{})
		if must && !d.isFollowing {
			d.followedAt = 0
		}
		d.isFollowing = must
	}
	if d.isFollowing {
		m.readStore(d)
	}
	if m.now.Before(d.nextProbe) {
		return
	}
	d.nextProbe = m.now.Add(probePeriod/2 + time.Duration(m.random.Int64N(int64(probePeriod))))
	for _, a := range d.selector.Relays(d.alive(), m.isStoreDown(d)) {
		m.probe(d, m.byName[a])
	}
	for range probesPerRound {
		m.probe(d, m.daemons[m.random.IntN(len(m.daemons))])
	}
}

// readStore reads the newest version if it is new since the last read, and tells the daemons of the data centre.
func (m *mesh) readStore(d *daemon) {
	if d.isRefused {
		d.storeFailedAt = m.now
		return
	}
	d.storeFailedAt = time.Time{}
	if d.followedAt == m.version {
		return
	}
	m.calls++
	d.followedAt = m.version
	if d.version == m.version {
		return
	}
	d.version = m.version
	for a := range d.view {
		m.probe(d, m.byName[a])
	}
}

// probe exchanges the state of two daemons.
func (m *mesh) probe(d, o *daemon) {
	if d == o {
		return
	}
	if o.isDead {
		if _, ok := d.pending[o.address]; !ok {
			d.pending[o.address] = m.now.Add(probeTimeout)
		}
		return
	}
	m.learn(d, o)
	m.learn(o, d)
	newest := max(d.version, o.version)
	d.version, o.version = newest, newest
}

func (m *mesh) learn(d, o *daemon) {
	delete(d.unreachable, o.address)
	if v, ok := d.view[o.address]; ok {
		v.LastContact, v.IsStoreDown = m.now, m.isStoreDown(o)
	}
}

// lagging returns the number of daemons that are alive and don't have the newest version.
func (m *mesh) lagging() int {
	count := 0
	for _, d := range m.daemons {
		if !d.isDead && d.version < m.version {
			count++
		}
	}
	return count
}

// isStoreReadable reports whether any daemon that is alive can read the store.
func (m *mesh) isStoreReadable() bool {
	return slices.ContainsFunc(m.daemons, func(d *daemon) bool { return !d.isDead && !d.isRefused })
}

// following returns the number of daemons that follow the store.
func (m *mesh) following() int {
	count := 0
	for _, d := range m.daemons {
		if !d.isDead && d.isFollowing {
			count++
		}
	}
	return count
}

// relays returns the daemons that follow the store.
func (m *mesh) relays() []*daemon {
	var found []*daemon
	for _, d := range m.daemons {
		if d.isFollowing {
			found = append(found, d)
		}
	}
	return found
}

// The faults strike at the moment at which a version is written; it has to be in force at all daemons in time whatever
// the number of daemons, and the calls of the store must not grow with it.
func TestAVersionIsInForceEverywhereInTime(t *testing.T) {
	faults := map[string]func(m *mesh){
		"none":                   func(*mesh) {},
		"one relay of each lost": func(m *mesh) { m.killRelays(1) },
		"all relays lost":        func(m *mesh) { m.killRelays(2) },
		"half of the daemons lost": func(m *mesh) {
			for i, d := range m.daemons {
				d.isDead = i%2 == 0
			}
		},
		"the store turns a third away": func(m *mesh) {
			for i, d := range m.daemons {
				d.isRefused = i%3 == 1
			}
		},
		"the store turns all relays away": func(m *mesh) {
			for _, d := range m.relays() {
				d.isRefused = true
			}
		},
	}
	for _, size := range []struct{ daemons, centres int }{{1, 1}, {3, 3}, {21, 5}, {195, 5}} {
		for name, strike := range faults {
			for seed := range uint64(2) {
				m := newMesh(seed, size.daemons, size.centres)
				m.run(10 * time.Second)
				m.version++
				strike(m)
				if !m.isStoreReadable() {
					continue
				}
				m.run(configurationBound + time.Second)
				assert.Equal(t, m.lagging(), 0, "%d daemons, %s, seed %d", size.daemons, name, seed)
			}
		}
	}
}

// killRelays ends some relays of each data centre.
func (m *mesh) killRelays(perCentre int) {
	killed := map[string]int{}
	for _, d := range m.relays() {
		if killed[d.centre] < perCentre {
			killed[d.centre]++
			d.isDead = true
		}
	}
}

func TestTheCallsOfTheStoreDontGrowWithTheDaemons(t *testing.T) {
	for _, count := range []int{30, 100, 300} {
		m := newMesh(1, count, 5)
		m.run(5 * time.Second)
		m.calls = 0
		for range 10 {
			m.version++
			m.run(2 * time.Second)
			assert.Equal(t, m.lagging(), 0)
		}
		assert.Equal(t, m.following(), 10, "two relays in each of five data centres")
		assert.Equal(t, m.calls, 100, "one call for each relay and version")
	}
}

// A daemon that can't reach any other one, but the store, must not wait for the relays.
func TestADaemonWithoutRelaysFollowsTheStore(t *testing.T) {
	now := time.Unix(1000, 0)
	all := []string{"d0", "d1", "d2", "d3"}
	var others []relay.Member
	for _, a := range all[1:] {
		others = append(others, relay.Member{Address: a, LastContact: now})
	}
	relays := (&relay.Selector{Address: all[0], DataCentre: "c"}).Relays(others, false)
	assert.Equal(t, len(relays), 2)
	own := slices.IndexFunc(all, func(a string) bool { return !slices.Contains(relays, a) })
	others = nil
	for _, a := range slices.Delete(slices.Clone(all), own, own+1) {
		others = append(others, relay.Member{Address: a, LastContact: now})
	}
	s := &relay.Selector{Address: all[own], DataCentre: "c", Jitter: 1}
	assert.Assert(t, !s.MustFollow(now, others, false, time.Time{}))
	assert.Assert(t, !s.MustFollow(now.Add(time.Second), others, false, time.Time{}))
	assert.Assert(t, !s.MustFollow(now.Add(4*time.Second), others, false, now.Add(2*time.Second)), "others show that its configuration is the newest")
	assert.Assert(t, s.MustFollow(now.Add(4*time.Second), others, false, time.Time{}))
}

func TestOnlyDaemonsThatCanReadTheStoreAreRelays(t *testing.T) {
	s := &relay.Selector{Address: "d0", DataCentre: "c"}
	others := []relay.Member{{Address: "d1", IsStoreDown: true}, {Address: "d2", IsStoreDown: true}, {Address: "d3"}}
	assert.DeepEqual(t, s.Relays(others, true), []string{"d3"})
	others[2].IsStoreDown = true
	assert.Equal(t, len(s.Relays(others, true)), 2, "if none can read it, some have to try")
}

func TestTheFirstRelayOfTheMeshChecksBeforeTheOthers(t *testing.T) {
	const bound = 3 * time.Second
	s := &relay.Selector{Address: "d0", DataCentre: "b", Jitter: 0.5}
	first := s.CheckAfter(bound, "d0")
	assert.Equal(t, first, bound/2)
	assert.Equal(t, s.CheckAfter(time.Millisecond, "d0"), 500*time.Millisecond, "a tiny bound costs no storm of calls")
	for name, other := range map[string]time.Duration{
		"another relay is the first": s.CheckAfter(bound, "d1"),
		"no relay is the first":      s.CheckAfter(bound, ""),
	} {
		assert.Assert(t, other > first, "%s: %v", name, other)
	}
}

// It guards against relays that notice too late, once the first one is frozen, that they have heard nothing.
func TestEachRelayChecksItsConfigurationEarlyEnoughToSpreadANewerOne(t *testing.T) {
	// ask and check are the time limits of the question to the first relay and of the call of the store after it.
	const ask, check = 150 * time.Millisecond, 400 * time.Millisecond
	for _, bound := range []time.Duration{2 * time.Second, 2500 * time.Millisecond, 4 * time.Second} {
		for _, jitter := range []float64{0, 0.5, 1} {
			s := &relay.Selector{Address: "d0", DataCentre: "b", Jitter: jitter}
			latest := s.CheckAfter(bound, "d1") + ask + check
			assert.Check(t, latest <= bound*9/10, "bound %v: the call ends when the configuration is %v old", bound, latest)
		}
	}
}

func TestTheFirstRelayIsOneOfTheReaders(t *testing.T) {
	assert.Equal(t, relay.FirstRelay("c", nil), "")
	assert.Equal(t, relay.FirstRelay("c", []string{"d2"}), "d2")
	readers := []string{"d0", "d1", "d2", "d3"}
	first := relay.FirstRelay("c", readers)
	slices.Reverse(readers)
	assert.Equal(t, relay.FirstRelay("c", readers), first, "whatever the order")
	own := &relay.Selector{Address: "d0", DataCentre: "c"}
	assert.Equal(t, own.Relays([]relay.Member{{Address: "d1"}, {Address: "d2"}, {Address: "d3"}}, false)[0], first, "as each daemon sees it")
}
