package integration_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"siskinspar.example/daemon/operatorapi"
	"siskinspar.example/declaration"
	"siskinspar.example/standin/platform"
	"siskinspar.example/versionlog"
)

// versionWatch polls the version of each ready daemon and fails the test if the version of any daemon decreases.
type versionWatch struct {
	stop      chan struct{}
	pollers   sync.WaitGroup
	mu        sync.Mutex
	decreases []string
}

// watchVersions starts a versionWatch on all daemons, which ends with the test.
func (m *mesh) watchVersions() *versionWatch {
	w := &versionWatch{stop: make(chan struct{})}
	for _, i := range m.daemons {
		w.pollers.Go(func() { w.poll(i) })
	}
	m.t.Cleanup(func() {
		close(w.stop)
		w.pollers.Wait()
		assert.Equal(m.t, len(w.decreases), 0, "%v", w.decreases)
	})
	return w
}

func (w *versionWatch) poll(i *instance) {
	client := &operatorapi.Client{Address: i.operatorAddress(), Token: operatorToken, HTTP: &http.Client{Timeout: time.Second}}
	highest := declaration.Version(0)
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		s, err := client.Status(context.Background())
		if err != nil || !s.IsReady {
			continue
		}
		if s.Version < highest {
			w.mu.Lock()
			w.decreases = append(w.decreases, fmt.Sprintf("%s went from %d to %d", i.name, highest, s.Version))
			w.mu.Unlock()
		}
		highest = max(highest, s.Version)
	}
}

// withTimeout returns the standard declarations with a timeout of so many seconds; each value makes a new version.
func withTimeout(seconds int) string {
	return strings.ReplaceAll(standardDeclarations, "10s", fmt.Sprintf("%ds", seconds))
}

// awaitVersion waits until the given daemons have version v or a later one in force.
func (m *mesh) awaitVersion(v declaration.Version, daemons ...*instance) {
	m.t.Helper()
	for _, i := range daemons {
		eventually(m.t, fmt.Sprintf("version %d on %s", v, i.name), func() bool { return i.version() >= v })
	}
}

// startDaemons starts daemons spread evenly over the data centres, without backend servers.
func startDaemons(t *testing.T, size, centres int) *mesh {
	t.Helper()
	m := newMesh(t)
	for n := range size {
		m.addDaemon(fmt.Sprintf("d%d", n), string(rune('a'+n%centres)), "")
	}
	m.awaitMembership(0)
	return m
}

func TestThirdOfDaemonsKilledAtOnceRestartsAtTheLatestVersion(t *testing.T) {
	m := startDaemons(t, 9, 3)
	m.watchVersions()
	output, code := m.daemons[0].apply(m.writeDeclarations(withTimeout(10)))
	assert.Equal(t, code, 0, output)
	for _, i := range m.daemons[6:] {
		i.Kill()
	}
	_, code = m.daemons[0].apply(m.writeDeclarations(withTimeout(11)))
	// Exit code 5: the version was accepted, but is not yet in force on the killed daemons.
	assert.Assert(t, code == 0 || code == 5)
	for _, i := range m.daemons[6:] {
		i.restart()
	}
	m.awaitMembership(0)
	m.awaitVersion(2, m.daemons...)
}

func TestStoreOutageDelaysAChangeWithoutLosingIt(t *testing.T) {
	m := startDaemons(t, 3, 3)
	m.watchVersions()
	_, code := m.daemons[0].apply(m.writeDeclarations(withTimeout(10)))
	assert.Equal(t, code, 0)
	m.setFault(platform.Fault{Mode: platform.ModeDown})
	directory := m.writeDeclarations(withTimeout(11))
	applied := make(chan int, 1)
	go func() {
		_, code := m.daemons[0].apply(directory)
		applied <- code
	}()
	eventually(t, "the timeline lists the outage", func() bool {
		output, _ := run(t, "timeline", "--operator", m.daemons[0].operatorAddress(), "--token", operatorToken, "--kind", "store-down")
		return strings.Contains(output, "store-down")
	})
	assert.Equal(t, m.daemons[1].version(), declaration.Version(1))
	m.setFault(platform.Fault{Mode: platform.ModeNone})
	code = <-applied
	// Exit code 4: apply does not know whether the change was accepted, and the operator applies it again.
	assert.Assert(t, code == 0 || code == 4, "exit code %d", code)
	if code == 4 {
		_, code = m.daemons[0].apply(directory)
		assert.Equal(t, code, 0)
	}
	m.awaitVersion(2, m.daemons...)
}

func TestLostStoreAnswerCommitsOneVersion(t *testing.T) {
	m := startDaemons(t, 2, 2)
	m.setFault(platform.Fault{Mode: platform.ModeLostAnswer, Count: 1})
	output, code := m.daemons[0].apply(m.writeDeclarations(withTimeout(10)))
	assert.Equal(t, code, 0, output)
	assert.Assert(t, cmp.Contains(output, "version 1"))
	history, err := m.daemons[1].operatorClient().History(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(history), 1)
}

func TestADaemonRestartedWhileTheStoreIsDownNeverServesAnOlderVersion(t *testing.T) {
	m := startDaemons(t, 3, 1)
	m.watchVersions()
	for n := range 3 {
		_, code := m.daemons[n].apply(m.writeDeclarations(withTimeout(10 + n)))
		assert.Equal(t, code, 0)
	}
	m.setFault(platform.Fault{Mode: platform.ModeDown})
	m.daemons[2].Kill()
	m.daemons[2].restart()
	m.awaitMembership(0)
	assert.Equal(t, m.daemons[2].version(), declaration.Version(3))
}

// The floor is the version below which a restarted daemon serves nothing. The daemon learns it from its peers or from
// the store; here neither answers.
func TestDaemonThatCannotLearnItsFloorIsNotReady(t *testing.T) {
	m := startDaemons(t, 3, 1)
	_, code := m.daemons[0].apply(m.writeDeclarations(withTimeout(10)))
	assert.Equal(t, code, 0)
	m.setFault(platform.Fault{Mode: platform.ModeDown})
	for _, i := range m.daemons[:2] {
		i.Signal(syscall.SIGSTOP)
	}
	m.daemons[2].Kill()
	m.daemons[2].restart()
	eventually(t, "the daemon has failed to reach the store", func() bool {
		return strings.Contains(m.daemons[2].Text(), "store is down")
	})
	response, _, err := m.daemons[2].do(http.MethodGet, "/status", "early", nil, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header.Get("Siskinspar-Outcome"), "not-run")
	for _, i := range m.daemons[:2] {
		i.Signal(syscall.SIGCONT)
	}
	m.awaitMembership(0)
	assert.Equal(t, m.daemons[2].version(), declaration.Version(1))
}

func TestResumedDaemonLearnsTheLatestVersionBeforeServing(t *testing.T) {
	m := startDaemons(t, 4, 2)
	m.watchVersions()
	_, code := m.daemons[0].apply(m.writeDeclarations(withTimeout(10)))
	assert.Equal(t, code, 0)
	frozen := m.daemons[3]
	frozen.Signal(syscall.SIGSTOP)
	others := m.daemons[:3]
	m.awaitMembership(0, others...)
	_, code = m.daemons[0].apply(m.writeDeclarations(withTimeout(11)))
	assert.Equal(t, code, 0)
	frozen.Signal(syscall.SIGCONT)
	eventually(t, "the resumed daemon serves", func() bool {
		response, _, err := frozen.do(http.MethodGet, "/none", "woken", nil, nil)
		if err != nil || response.StatusCode == http.StatusServiceUnavailable {
			return false
		}
		assert.Equal(t, response.Header.Get("Siskinspar-Version"), "2", "served with an older version after the pause")
		return true
	})
	m.awaitMembership(0)
	output, _ := run(t, "timeline", "--operator", m.daemons[0].operatorAddress(), "--token", operatorToken, "--kind", "member-removed", "--kind", "self-refuted")
	assert.Assert(t, cmp.Contains(output, "member-removed"))
	assert.Assert(t, cmp.Contains(output, "self-refuted"))
}

func TestResumedDaemonWithoutPeersAsksTheStore(t *testing.T) {
	m := startDaemons(t, 2, 1)
	_, code := m.daemons[0].apply(m.writeDeclarations(withTimeout(10)))
	assert.Equal(t, code, 0)
	resumed, killed := m.daemons[0], m.daemons[1]
	resumed.Signal(syscall.SIGSTOP)
	killed.Kill()
	// A daemon holds calls after a pause of at least four probe periods, which are 800 ms here.
	time.Sleep(2 * time.Second)
	resumed.Signal(syscall.SIGCONT)
	m.awaitMembership(0, resumed)
	assert.Assert(t, cmp.Contains(resumed.Text(), "calls are held"))
}

// intentSubmission returns a submission that declares one intent, based on the given version of its entry.
func intentSubmission(t *testing.T, id, operator, name string, base declaration.Version, seconds int) versionlog.Submission {
	t.Helper()
	e, err := declaration.NewIntentEntry(declaration.Intent{
		Name: name, Target: "desk", Match: declaration.Match{PathPrefix: "/" + name}, Timeout: time.Duration(seconds) * time.Second,
	})
	assert.NilError(t, err)
	return versionlog.Submission{RequestID: versionlog.RequestID(id), Operator: operator, Proposals: []versionlog.Proposal{
		{Edit: declaration.Edit{Key: e.Key(), Content: e.Content()}, Base: base},
	}}
}

func TestConcurrentSubmissionsAreRebasedOrGetAConflictNamingBothOperators(t *testing.T) {
	m := startDaemons(t, 4, 2)
	m.watchVersions()
	_, code := m.daemons[0].apply(m.writeDeclarations(withTimeout(10)))
	assert.Equal(t, code, 0)
	type answer struct {
		result operatorapi.SubmissionResult
		err    error
	}
	race := func(submissions ...versionlog.Submission) []answer {
		answers := make([]answer, len(submissions))
		var group sync.WaitGroup
		for n, s := range submissions {
			group.Go(func() {
				r, err := m.daemons[n%len(m.daemons)].operatorClient().Submit(context.Background(), s)
				answers[n] = answer{r, err}
			})
		}
		group.Wait()
		return answers
	}
	accepted := 0
	for _, a := range race(
		intentSubmission(t, "same-1", "ann", "shared", 0, 5),
		intentSubmission(t, "same-2", "ben", "shared", 0, 6),
	) {
		assert.NilError(t, a.err)
		if a.result.Disposition == versionlog.DispositionAccepted {
			accepted++
			continue
		}
		assert.Equal(t, len(a.result.Conflicts), 1)
		assert.Assert(t, cmp.Contains(a.result.Reason, `"ann"`))
		assert.Assert(t, cmp.Contains(a.result.Reason, `"ben"`))
	}
	assert.Equal(t, accepted, 1)
	var disjoint []versionlog.Submission
	for n := range 12 {
		disjoint = append(disjoint, intentSubmission(t, fmt.Sprintf("other-%d", n), "ann", fmt.Sprintf("other-%d", n), 0, 5))
	}
	for _, a := range race(disjoint...) {
		assert.NilError(t, a.err)
		assert.Equal(t, a.result.Disposition, versionlog.DispositionAccepted, a.result.Reason)
	}
	head := m.daemons[0].version()
	m.awaitVersion(head, m.daemons...)
	d, err := m.daemons[3].operatorClient().Declarations(context.Background(), 0)
	assert.NilError(t, err)
	assert.Equal(t, len(d.Declared), 3+1+12)
}

// The declarations are so many that the change is stored as an object. The store then returns only half of the object,
// and the daemon must put none of it in force.
func TestTruncatedObjectIsRejectedWhole(t *testing.T) {
	m := startDaemons(t, 2, 1)
	m.watchVersions()
	var text strings.Builder
	text.WriteString(standardDeclarations)
	for n := range 400 {
		fmt.Fprintf(&text, "---\nkind: intent\nname: bulk-%d\ntarget: desk\nmatch: {pathPrefix: /bulk/%d}\n", n, n)
	}
	m.daemons[1].Signal(syscall.SIGSTOP)
	_, code := m.daemons[0].apply(m.writeDeclarations(text.String()), "--wait-limit", "1s")
	assert.Assert(t, code == 0 || code == 5, "exit code %d", code)
	m.daemons[0].Kill()
	m.setFault(platform.Fault{Mode: platform.ModeTruncated})
	m.daemons[1].Signal(syscall.SIGCONT)
	eventually(t, "the truncated object was read", func() bool {
		output := m.daemons[1].Text()
		return strings.Contains(output, "version refused")
	})
	s, err := m.daemons[1].operatorClient().Status(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, s.Version, declaration.Version(0))
	assert.Equal(t, s.Routes, 0)
	m.setFault(platform.Fault{Mode: platform.ModeNone})
	m.awaitVersion(1, m.daemons[1])
}

// With the store down and the peer that is ahead stopped, the restarted daemon can ask only the peer that lags one
// version behind. It must stay unready, and not put that older version in force.
func TestStalePeerDoesNotGiveARestartedDaemonAnOlderVersion(t *testing.T) {
	m := startDaemons(t, 3, 1)
	m.watchVersions()
	ahead, stale, restarted := m.daemons[0], m.daemons[1], m.daemons[2]
	_, code := ahead.apply(m.writeDeclarations(withTimeout(10)))
	assert.Equal(t, code, 0)
	stale.Signal(syscall.SIGSTOP)
	_, code = ahead.apply(m.writeDeclarations(withTimeout(11)), "--wait-limit", "1s")
	assert.Assert(t, code == 0 || code == 5, "exit code %d", code)
	m.awaitVersion(2, ahead, restarted)
	m.setFault(platform.Fault{Mode: platform.ModeDown})
	ahead.Signal(syscall.SIGSTOP)
	restarted.Kill()
	stale.Signal(syscall.SIGCONT)
	restarted.restart()
	eventually(t, "the daemon has asked its peers for its floor", func() bool {
		return strings.Contains(restarted.Text(), "floor from peers")
	})
	response, _, err := restarted.do(http.MethodGet, "/none", "early", nil, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	ahead.Signal(syscall.SIGCONT)
	m.awaitMembership(0)
	m.awaitVersion(2, m.daemons...)
}
