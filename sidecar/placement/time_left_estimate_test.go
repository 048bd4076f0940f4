package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/placement"
)

func TestTheTimeThatAClientHasWaitedIsEstimated(t *testing.T) {
	e := &placement.TimeLeftEstimates{}
	assert.Equal(t, e.Waited(now, "r", time.Second), time.Duration(0), "without samples the initial time left is unknown")
	for i := range 64 {
		left := time.Second
		switch {
		case i%2 == 0:
			// Half of the requests are retries.
			left = 600 * time.Millisecond
		case i%31 == 0:
			left = 9 * time.Second
		}
		e.Record("r", left, 0)
	}
	assert.Equal(t, e.Waited(now, "r", 600*time.Millisecond), 400*time.Millisecond)
	assert.Equal(t, e.Waited(now, "r", time.Second), time.Duration(0))
	assert.Equal(t, e.Waited(now, "r", 9*time.Second), time.Duration(0))
	assert.Assert(t, !e.IsNested(now, "r"), "retries don't make a route nested")
}

// record adds requests of two routes: one in ten of the first arrives while no request with as much time left runs at the
// backend server, as those of clients do; the second is nested in the first.
func record(e *placement.TimeLeftEstimates, outer, nested time.Duration) {
	for i := range 100 {
		longest := outer
		if i%10 == 0 {
			longest = outer / 2
		}
		e.Record("outer", outer, longest)
		e.Record("nested", min(nested, outer*time.Duration(100-i)/100), outer*time.Duration(100-i)/100)
	}
}

func TestNestedRequestsAreRecognisedAtAnyScale(t *testing.T) {
	for _, c := range []struct{ outer, nested time.Duration }{
		{500 * time.Millisecond, 200 * time.Millisecond},
		{3 * time.Second, 500 * time.Millisecond},
		{12 * time.Second, 1200 * time.Millisecond},
	} {
		e := &placement.TimeLeftEstimates{}
		assert.Assert(t, !e.IsNested(now, "nested"), "nothing is known yet")
		record(e, c.outer, c.nested)
		assert.Assert(t, e.IsNested(now, "nested"), "%v in %v", c.nested, c.outer)
		assert.Assert(t, !e.IsNested(now, "outer"))
		assert.Equal(t, e.Waited(now, "nested", c.nested/2), time.Duration(0), "the time left of a nested request depends on the request that waits for it")
	}
}

// Where clients of one route wait less than half as long as those of another, only what runs tells that they are clients.
func TestClientsThatWaitBrieflyAreNotTakenForNested(t *testing.T) {
	e := &placement.TimeLeftEstimates{}
	for i := range 100 {
		e.Record("patient", 800*time.Millisecond, time.Second)
		longest := time.Duration(0)
		if i%5 > 0 {
			longest = 700 * time.Millisecond
		}
		e.Record("brief", 250*time.Millisecond, longest)
	}
	assert.Assert(t, !e.IsNested(now, "brief"))
	assert.DeepEqual(t, e.ClientRoutes(), []string{"brief"})
}

// At an instance whose server always runs longer requests nothing tells clients from nested requests; others know.
func TestDaemonsTellEachOtherWhichRoutesClientsUse(t *testing.T) {
	e := &placement.TimeLeftEstimates{}
	for range 100 {
		e.Record("patient", 800*time.Millisecond, time.Second)
		e.Record("brief", 250*time.Millisecond, 700*time.Millisecond)
	}
	assert.Assert(t, e.IsNested(now, "brief"))
	assert.Equal(t, len(e.ClientRoutes()), 0)
	e.MergeClientRoutes(now, []string{"brief"})
	assert.Assert(t, !e.IsNested(now, "brief"))
	assert.Equal(t, len(e.ClientRoutes()), 0, "what others have stated is not passed on")
	assert.Assert(t, e.IsNested(now.Add(time.Minute), "brief"), "a statement lapses")
}
