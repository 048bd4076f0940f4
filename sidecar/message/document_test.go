package message_test

import (
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/memory"
	"siskinspar.example/sidecar/message"
)

// It guards against a configuration of a few kilobytes that takes the memory of the instance when it is decompressed.
func TestADocumentThatDecompressesToTooMuchIsRefused(t *testing.T) {
	d, err := message.NewDocument(1, make([]byte, 256<<20))
	assert.NilError(t, err)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err = d.Content()
	runtime.ReadMemStats(&after)
	assert.ErrorIs(t, err, memory.ErrTooLarge)
	allocated := after.TotalAlloc - before.TotalAlloc
	assert.Assert(t, allocated < 64<<20, "%d MB were allocated", allocated>>20)
}
