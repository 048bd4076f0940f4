package loopback_test

import (
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"siskinspar.example/standin/loopback"
)

// childVariable makes the test binary print one address and wait for the end of its input.
const childVariable = "LOOPBACK_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		_, _ = os.Stdout.WriteString(loopback.Address() + "\n")
		_, _ = os.Stdin.Read(make([]byte, 1))
		return
	}
	os.Exit(m.Run())
}

func TestEachAddressIsGivenOnceAndIsFree(t *testing.T) {
	var mu sync.Mutex
	given := map[string]bool{}
	var group sync.WaitGroup
	for range 600 {
		group.Go(func() {
			a := loopback.Address()
			l, err := net.Listen("tcp", a)
			assert.Check(t, err)
			if err == nil {
				_ = l.Close()
			}
			mu.Lock()
			defer mu.Unlock()
			assert.Check(t, !given[a], a)
			given[a] = true
		})
	}
	group.Wait()
}

// TestProcessesAtOnceHaveDifferentAddresses guards against tests that fail beside another run of themselves.
func TestProcessesAtOnceHaveDifferentAddresses(t *testing.T) {
	given := map[string]bool{loopback.Address(): true}
	for range 4 {
		c := exec.Command(os.Args[0])
		c.Env = append(os.Environ(), childVariable+"=1")
		input, err := c.StdinPipe()
		assert.NilError(t, err)
		output, err := c.StdoutPipe()
		assert.NilError(t, err)
		assert.NilError(t, c.Start())
		defer func() {
			_ = input.Close()
			_ = c.Wait()
		}()
		line := make([]byte, 64)
		n, err := output.Read(line)
		assert.NilError(t, err)
		network := strings.Join(strings.Split(string(line[:n]), ".")[:2], ".")
		assert.Assert(t, !given[network], network)
		given[network] = true
	}
}
