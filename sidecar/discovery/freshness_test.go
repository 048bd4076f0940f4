package discovery

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// It guards against a machine that was suspended and takes its configuration for younger than it is: the steady clock does
// not count the suspension.
func TestTheAgeOfTheConfigurationCountsASuspensionOfTheMachine(t *testing.T) {
	var f Freshness
	known := time.Now()
	f.Record(known)
	suspended := 3 * time.Second
	steady := known.Add(500 * time.Millisecond)
	assert.Equal(t, f.age(steady, steady.Round(0).Add(suspended)), suspended+500*time.Millisecond)
	assert.Equal(t, f.age(steady, steady.Round(0).Add(-suspended)), 500*time.Millisecond, "the time of day was set back")
	assert.Equal(t, f.age(known.Add(-time.Second), known.Round(0).Add(-time.Second)), time.Duration(0))
}
