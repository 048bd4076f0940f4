package soak_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/cmd/soak"
)

// buildBinary builds the program and returns its path.
func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "siskinspar")
	output, err := exec.Command("go", "build", "-o", binary, "siskinspar.example/cmd/siskinspar").CombinedOutput()
	assert.NilError(t, err, string(output))
	return binary
}

// TestShortSoakFindsNoViolation runs a short soak with real daemon processes. A seed that ever failed is added here
// with its cause.
func TestShortSoakFindsNoViolation(t *testing.T) {
	s := &soak.Soak{Seed: 1, Span: 5 * time.Second, Instances: 4, Binary: buildBinary(t), Directory: t.TempDir(), Out: t.Output()}
	assert.NilError(t, s.Run(t.Context()))
}
