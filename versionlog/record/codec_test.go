package record_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"siskinspar.example/versionlog/record"
)

// It guards against an object that takes the memory of the instance when it is decompressed.
func TestAnObjectThatDecompressesToTooMuchIsRefused(t *testing.T) {
	data, err := record.Encode(strings.Repeat("x", 2*record.MaximumDecodedSize))
	assert.NilError(t, err)
	var text string
	assert.ErrorContains(t, record.Decode(data, &text), "larger than")
}
