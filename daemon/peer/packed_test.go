package peer

import (
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"siskinspar.example/membership"
)

// It guards against records of a few kilobytes that take the memory of the instance when they are decompressed.
func TestRecordsThatDecompressToTooMuchAreRefused(t *testing.T) {
	p, err := Pack([]membership.Record{{ID: membership.ID(strings.Repeat("x", 256<<20))}})
	assert.NilError(t, err)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err = p.Unpack()
	runtime.ReadMemStats(&after)
	assert.Assert(t, err != nil)
	allocated := after.TotalAlloc - before.TotalAlloc
	assert.Assert(t, allocated < 128<<20, "%d MB were allocated", allocated>>20)
}
