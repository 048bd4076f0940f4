package soak_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/cmd/soak"
)

// TestAShortSoakBreaksNoPromise runs seeds as real processes; a seed that ever failed is added with its cause.
func TestAShortSoakBreaksNoPromise(t *testing.T) {
	directory := t.TempDir()
	binary := filepath.Join(directory, "siskinspar")
	output, err := exec.Command("go", "build", "-o", binary, "siskinspar.example/cmd/siskinspar").CombinedOutput()
	assert.NilError(t, err, string(output))
	s := &soak.Soak{Seed: 1, Span: 5 * time.Second, Instances: 4, Binary: binary, Directory: directory, Out: t.Output()}
	assert.NilError(t, s.Run(t.Context()))
}
