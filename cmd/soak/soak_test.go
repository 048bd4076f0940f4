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

// TestShortSoakFindsNoViolation runs short soaks with real daemon processes. A seed that ever failed is added here with its
// cause.
func TestShortSoakFindsNoViolation(t *testing.T) {
	binary := buildBinary(t)
	for _, c := range []struct {
		name          string
		seed          uint64
		span          time.Duration
		isPlannedOnly bool
	}{
		{"any faults", 1, 5 * time.Second, false},
		// Requests that lay unread in the sockets of a daemon when its drain began got no answer.
		{"planned work", 7, 8 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &soak.Soak{Seed: c.seed, Span: c.span, IsPlannedOnly: c.isPlannedOnly, Instances: 4, Binary: binary, Directory: t.TempDir(), Out: t.Output()}
			assert.NilError(t, s.Run(t.Context()))
		})
	}
}
