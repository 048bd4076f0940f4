package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/placement"
	"siskinspar.example/sidecar/route"
)

var now = time.Unix(1000, 0)

// The transfers of requests with small messages, with a large answer, and with a large body.
var (
	small    = placement.Transfer{Kind: route.Idempotent}
	download = placement.Transfer{Kind: route.Download}
	upload   = placement.Transfer{Kind: route.Upload}
)

func newPlacer() *placement.Placer {
	return &placement.Placer{Address: "own", DataCentre: "a", Random: rand.New(rand.NewPCG(1, 1))}
}

// candidate returns a candidate with 8 slots, whose ID is its address.
func candidate(address, centre string, running int) member.Candidate {
	return member.Candidate{Address: address, DataCentre: centre, Server: member.Server{ID: address}, Load: member.Load{Running: running, Slots: 8}}
}

func TestAFreeServerIsPicked(t *testing.T) {
	failing := candidate("near", "a", 0)
	failing.Load.Failing = 0.5
	unreachable := candidate("near", "a", 0)
	unreachable.IsUnreachable = true
	for _, c := range []struct {
		name       string
		candidates []member.Candidate
		tried      []string
		transfer   placement.Transfer
		picked     string
	}{
		{"the own backend server first", []member.Candidate{candidate("own", "a", 0), candidate("near", "a", 0)}, nil, small, "own"},
		{"the own data centre before another", []member.Candidate{candidate("far", "b", 0), candidate("near", "a", 0)}, nil, small, "near"},
		{"an empty one in another data centre before a nearly full one in the own", []member.Candidate{candidate("far", "b", 0), candidate("near", "a", 7)}, nil, small, "far"},
		{"large answers stay in the own data centre", []member.Candidate{candidate("far", "b", 0), candidate("near", "a", 7)}, nil, download, "near"},
		{"large bodies stay in the own data centre", []member.Candidate{candidate("far", "b", 0), candidate("near", "a", 7)}, nil, upload, "near"},
		{"so do answers of some kilobytes", []member.Candidate{candidate("far", "b", 0), candidate("near", "a", 4)}, nil, placement.Transfer{Size: 16 << 10}, "near"},
		{"no full one", []member.Candidate{candidate("near", "a", 8)}, nil, small, ""},
		{"none that was tried", []member.Candidate{candidate("near", "a", 0)}, []string{"near"}, small, ""},
		{"none that fails many requests while there is another", []member.Candidate{failing, candidate("far", "b", 0)}, nil, small, "far"},
		{"one that fails many requests rather than none", []member.Candidate{failing}, nil, small, "near"},
		{"no unreachable one while there is another", []member.Candidate{unreachable, candidate("far", "b", 0)}, nil, small, "far"},
	} {
		t.Run(c.name, func(t *testing.T) {
			found, ok := newPlacer().PickFree(now, c.candidates, c.tried, c.transfer)
			assert.Equal(t, ok, c.picked != "")
			assert.Equal(t, found.Address, c.picked)
		})
	}
}

func TestAServerThatFailsIsTriedAgainLater(t *testing.T) {
	p := newPlacer()
	for range 5 {
		p.RecordFailure(now, "near")
	}
	candidates := []member.Candidate{candidate("near", "a", 0), candidate("far", "b", 0)}
	found, _ := p.PickFree(now, candidates, nil, small)
	assert.Equal(t, found.Address, "far")
	found, _ = p.PickFree(now.Add(5*time.Second), candidates, nil, small)
	assert.Equal(t, found.Address, "near")
}

func TestASlowServerIsPickedAfterAFastOne(t *testing.T) {
	p := newPlacer()
	for range 20 {
		p.RecordAnswer("near", 300*time.Millisecond, 100*time.Millisecond, small)
	}
	found, _ := p.PickFree(now, []member.Candidate{candidate("near", "a", 0), candidate("far", "b", 0)}, nil, small)
	assert.Equal(t, found.Address, "far")
}

func TestLargeAnswersAvoidASlowLink(t *testing.T) {
	p := newPlacer()
	for range 20 {
		p.RecordAnswer("slow", 900*time.Millisecond, 200*time.Millisecond, download)
	}
	candidates := []member.Candidate{candidate("slow", "a", 0), candidate("fast", "a", 4)}
	found, _ := p.PickFree(now, candidates, nil, download)
	assert.Equal(t, found.Address, "fast")
	found, _ = p.PickFree(now, candidates, nil, small)
	assert.Equal(t, found.Address, "slow", "the link does not matter for small answers")
	queues := p.PickQueues(now, []member.Candidate{candidate("slow", "a", 8), candidate("fast", "a", 8)}, nil, 1, download)
	assert.Equal(t, queues[0].Address, "fast")
}

func TestLargeAnswersAvoidAFullLinkUnlessItIsTheOwn(t *testing.T) {
	full, empty, own := candidate("full", "a", 0), candidate("empty", "a", 4), candidate("own", "a", 4)
	full.Load.Backlog, own.Load.Backlog = time.Second, time.Second
	found, _ := newPlacer().PickFree(now, []member.Candidate{full, empty}, nil, download)
	assert.Equal(t, found.Address, "empty")
	found, _ = newPlacer().PickFree(now, []member.Candidate{full, empty, own}, nil, download)
	assert.Equal(t, found.Address, "own", "an answer from the own backend server is sent over the own link only once")
	found, _ = newPlacer().PickFree(now, []member.Candidate{full, empty}, nil, small)
	assert.Equal(t, found.Address, "full", "the link does not matter for small answers")
	queues := newPlacer().PickQueues(now, []member.Candidate{full, empty}, nil, 1, download)
	assert.Equal(t, queues[0].Address, "empty")
}

func TestOldLoadsDontSendAllRequestsToTheSameServers(t *testing.T) {
	var many []member.Candidate
	for i := range 60 {
		c := candidate(string(rune('A'+i)), "a", 8+i%8)
		c.LoadAge = 2 * time.Second
		many = append(many, c)
	}
	p := newPlacer()
	picked := map[string]int{}
	for range 600 {
		for _, c := range p.PickQueues(now, many, nil, 4, small) {
			picked[c.Address]++
		}
	}
	for address, count := range picked {
		assert.Assert(t, count < 100, "%s was picked %d times, expected about 40", address, count)
	}
}

// TestAllDaemonsTogetherKeepTheRetryAllowance simulates a failing service: every request is sent again as often as the
// budgets allow.
func TestAllDaemonsTogetherKeepTheRetryAllowance(t *testing.T) {
	allowance := placement.RetryAllowance{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}
	for _, c := range []struct{ daemons, perSecond int }{{3, 5}, {11, 20}, {90, 12}} {
		budgets := make([]placement.Budget, c.daemons)
		for i := range budgets {
			budgets[i].RetryAllowance = allowance
		}
		spent := 0
		at := now
		// The first call starts the budgets an hour before, so that the window begins with the maximum credit.
		for i := range budgets {
			budgets[i].Spend(at.Add(-time.Hour), c.daemons)
		}
		steps := c.perSecond * 10
		for range steps {
			at = at.Add(time.Second / time.Duration(c.perSecond))
			for i := range budgets {
				budgets[i].Earn(at, c.daemons)
				for budgets[i].Spend(at, c.daemons) {
					spent++
				}
			}
		}
		requests := steps * c.daemons
		allowed := allowance.Ratio*float64(requests) + allowance.Slack
		// Nested requests of requests that run again count as extra attempts too, so the requests themselves may use no
		// more than two thirds (0.67) of the allowance. Where that is less than one extra attempt for each daemon, they
		// may use this.
		assert.Assert(t, float64(spent) <= 0.67*allowed || spent <= c.daemons, "%d daemons: %d extra attempts, %v allowed", c.daemons, spent, allowed)
		assert.Assert(t, spent > 0)
	}
}

func TestRetryDelaysAreSpreadAndWithinTheTimeLeft(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for _, left := range []time.Duration{3 * time.Second, time.Second, 20 * time.Second} {
		shortest, longest := time.Hour, time.Duration(0)
		for range 1000 {
			delay := placement.RetryDelay(left, r)
			shortest, longest = min(shortest, delay), max(longest, delay)
		}
		assert.Assert(t, longest <= left/3, "clients honour a delay of up to a third of the time left")
		assert.Assert(t, longest-shortest > longest/4, "the retries are spread")
	}
}
