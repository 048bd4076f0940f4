package soak_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/cmd/soak"
)

// configurationBound is the time within which a configuration has to be in force at a daemon that can reach the store.
const configurationBound = 2 * time.Second

// It guards against relays that rely on the word of another one, which has just been frozen, that the store has nothing
// new, while their own connections to the store are silent.
func TestAConfigurationIsInForceInTimeOnceTheRelayThatAsksForTheMeshIsFrozen(t *testing.T) {
	binary := buildBinary(t)
	for phase := range 4 {
		t.Run(fmt.Sprint(phase), func(t *testing.T) {
			t.Parallel()
			// There is one daemon in each of three data centres, so each of them is a relay, and that of the first data
			// centre asks the store for all.
			s := &soak.Soak{Seed: 1, Instances: 3, Binary: binary, Directory: t.TempDir(), Out: t.Output()}
			defer s.Stop()
			assert.NilError(t, s.Start())
			for s.WaitingCalls() < 3 {
				time.Sleep(20 * time.Millisecond)
			}
			s.SilenceStoreConnections()
			time.Sleep(4*time.Second + time.Duration(phase)*250*time.Millisecond)
			s.Freeze(0)
			s.Configure()
			for _, other := range []int{1, 2} {
				took := s.TimeToForce(other, 10*time.Second)
				assert.Check(t, took <= configurationBound, "daemon %d has it in force after %v", other, took)
			}
		})
	}
}
