package soak_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/cmd/soak"
	"siskinspar.example/standin/platform"
)

const (
	// drainTime is how long a backend server may still get requests after its leave was acknowledged.
	drainTime = 2 * time.Second
	// livenessTime is how long a daemon has to run until it counts for a promise.
	livenessTime = 3 * time.Second
)

// It guards against daemons that forget, when all are killed at once, that a backend server has said that it leaves, and
// use it again after a late heartbeat.
func TestALeaveOutlastsAllDaemons(t *testing.T) {
	binary := buildBinary(t)
	const leaving = 0
	for _, c := range []struct {
		name string
		// isGone is true if the server says at once that it is gone, and false if it says that it drains.
		isGone bool
		// before strikes between the acknowledgement and the end of all daemons, and after once they run again.
		before, after func(s *soak.Soak, older *platform.Copy)
		// kills is how many times all daemons are killed.
		kills int
	}{
		{name: "gone", isGone: true, kills: 1},
		{name: "draining", kills: 1},
		{name: "gone, killed twice in a row", isGone: true, kills: 2},
		{
			name: "gone, the store is away for 3 s around the kill", isGone: true, kills: 1,
			before: func(s *soak.Soak, _ *platform.Copy) { s.SetStoreFault(platform.Fault{Mode: platform.ModeSilent}) },
			after: func(s *soak.Soak, _ *platform.Copy) {
				time.Sleep(livenessTime)
				s.SetStoreFault(platform.Fault{Mode: platform.ModeNone})
			},
		},
		{
			name: "gone, the store came back from an older copy before the kill", isGone: true, kills: 1,
			before: func(s *soak.Soak, older *platform.Copy) {
				s.Restore(older)
				time.Sleep(livenessTime)
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := &soak.Soak{Seed: 1, Instances: 3, Binary: binary, Directory: t.TempDir(), Out: t.Output()}
			defer s.Stop()
			assert.NilError(t, s.Start())
			older := s.CopyStore()
			sendLate, err := s.Server(leaving).HoldHeartbeat()
			assert.NilError(t, err)
			leave := s.Server(leaving).Drain
			if c.isGone {
				leave = s.Server(leaving).Leave
			}
			acknowledged, err := leave(t.Context())
			assert.NilError(t, err)
			s.RecordLeave(leaving, acknowledged)
			if c.before != nil {
				c.before(s, older)
			}
			for range c.kills {
				s.KillAll()
				assert.NilError(t, s.StartDaemons())
			}
			if c.after != nil {
				c.after(s, older)
			}
			assert.NilError(t, s.AwaitReady())
			time.Sleep(max(livenessTime, time.Until(acknowledged.Add(drainTime))))
			assert.NilError(t, sendLate(t.Context()))
			time.Sleep(time.Second)
			s.SendRequests(50)
			assert.Assert(t, s.Answered() > 0)
			broken := s.Violations()
			assert.Assert(t, len(broken) == 0, "%d broken, the first: %v", len(broken), broken[:min(1, len(broken))])
		})
	}
}
