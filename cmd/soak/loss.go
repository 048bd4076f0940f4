package soak

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"
)

const (
	// lossSlack is the default of bounds.lossSlackS: how soon after the last byte of a request its connection may end
	// without an answer, since the close and the request may have crossed.
	lossSlack = 200 * time.Millisecond
	// disruptionReach is the default of bounds.livenessS: how long a disruption excuses lost requests that are sent after
	// it.
	disruptionReach = 3 * time.Second
	// shortestTimeout is the shortest timeout of a route in any version of the configuration.
	shortestTimeout = time.Second
)

// loss is a whole request whose connection ended without a whole answer, or that the daemon itself answered with status
// 502 or 504 after its SIGTERM. It is a violation unless it is excused.
type loss struct {
	id string
	// instance is the name of the instance to which the request was sent.
	instance string
	// sent is the time right before the request was sent, written the time right after its last byte was sent, and ended
	// the time at which the client saw the end of the connection or the answer.
	sent, written, ended time.Time
	// isBehind is true if the request was sent behind another one that had no answer yet.
	isBehind bool
	// status is that of the daemon's own answer, or 0 if there is none.
	status int
	// cause is how the connection ended, or nil if it did not or an answer before had said that it closes.
	cause error
}

// disruption is a fault that is not planned work: a kill, a freeze, a crash of the backend server or a fault of the link
// to it. Its end is zero while it lasts.
type disruption struct{ began, ended time.Time }

// recordLoss records a lost request, which checkLosses judges.
func (c *Checker) recordLoss(l loss) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.losses = append(c.losses, l)
}

// recordBreakOff records that a backend server ended the connection of a request that it ran, without a whole answer.
func (c *Checker) recordBreakOff(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.brokenOff[id] = true
}

// disrupt records that a disruption of an instance or of its backend server begins, and returns a function that records
// its end.
func (c *Checker) disrupt(instance string) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := &disruption{began: time.Now()}
	c.disruptions[instance] = append(c.disruptions[instance], d)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		d.ended = time.Now()
	}
}

// checkLosses records a violation for each lost request without an excuse. It returns the number of lost requests by
// excuse.
func (c *Checker) checkLosses() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	excuses := map[string]int{}
	for _, l := range c.losses {
		excuse := c.excuse(l)
		excuses[excuse]++
		if excuse == "" {
			c.addViolation("request %s was lost at %s: sent at %s, ended %v later with status %d (%v); run by %v",
				l.id, l.instance, l.written.Format(clockFormat), l.ended.Sub(l.written), l.status, l.cause, c.executions[l.id])
		}
	}
	return excuses
}

// excuse returns why a lost request is no violation, or an empty text if it is one; the caller holds mu.
func (c *Checker) excuse(l loss) string {
	wasPassedOn := len(c.executions[l.id]) > 0
	switch {
	case c.brokenOff[l.id]:
		return "the backend server broke off"
	case c.isDisrupted(l):
		return "disrupted"
	case l.ended.Sub(l.sent) >= shortestTimeout && l.status != 0:
		return "answered after the timeout"
	case l.ended.Sub(l.sent) >= shortestTimeout:
		return "closed after the timeout"
	case l.isBehind && !wasPassedOn:
		return "behind another request and not passed on"
	case l.status != 0 && !wasPassedOn:
		return "answered and not passed on"
	case l.status != 0 && !c.isStopping(l):
		return "answered without SIGTERM"
	case !wasPassedOn && l.ended.Sub(l.written) <= lossSlack:
		return "crossed the close and not passed on"
	}
	return ""
}

// recordTermination records that a daemon gets SIGTERM.
func (c *Checker) recordTermination(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.terminations[instance] = append(c.terminations[instance], time.Now())
}

// isStopping reports whether the daemon of a lost request got SIGTERM before its answer, and may still have drained. The
// caller holds mu.
func (c *Checker) isStopping(l loss) bool {
	return slices.ContainsFunc(c.terminations[l.instance], func(at time.Time) bool {
		return at.Before(l.ended) && l.ended.Sub(at) <= graceTime+time.Second
	})
}

// isDisrupted reports whether there was a disruption, from disruptionReach before a lost request was sent until the end
// of its connection, at its instance or at one whose backend server has run it. The caller holds mu.
func (c *Checker) isDisrupted(l loss) bool {
	instances := []string{l.instance}
	for _, server := range c.executions[l.id] {
		instances = append(instances, instanceOf(server))
	}
	for _, i := range instances {
		for _, d := range c.disruptions[i] {
			hasEnded := !d.ended.IsZero() && d.ended.Before(l.sent.Add(-disruptionReach))
			if !hasEnded && !d.began.After(l.ended) {
				return true
			}
		}
	}
	return false
}

// serverID returns the ID of an incarnation of the backend server of an instance.
func serverID(instance string, incarnation int) string {
	return fmt.Sprintf("%s-%d", instance, incarnation)
}

// instanceOf returns the name of the instance of a backend server.
func instanceOf(server string) string {
	instance, _, _ := strings.Cut(server, "-")
	return instance
}

// checkEnd checks the end of a daemon that got a last signal, 0 for none: it ends only after SIGTERM or SIGKILL, and after
// SIGTERM with exit code 0.
func (c *Checker) checkEnd(instance string, last syscall.Signal, exitCode int) {
	if last == syscall.SIGKILL || last == syscall.SIGTERM && exitCode == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation("the daemon of %s ended by itself with code %d; last signal: %v", instance, exitCode, last)
}
