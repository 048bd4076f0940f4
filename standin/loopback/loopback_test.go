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

// startChild starts a process that claims a network, and returns the first two numbers of its addresses, such as 127.100,
// and the function that ends it.
func startChild(t *testing.T) (network string, stop func()) {
	t.Helper()
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), childVariable+"=1")
	input, err := c.StdinPipe()
	assert.NilError(t, err)
	output, err := c.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, c.Start())
	line := make([]byte, 64)
	n, err := output.Read(line)
	assert.NilError(t, err)
	return strings.Join(strings.Split(string(line[:n]), ".")[:2], "."), func() {
		_ = input.Close()
		_ = c.Wait()
	}
}

// TestProcessesAtOnceHaveDifferentAddresses guards against tests that fail beside another run of themselves.
func TestProcessesAtOnceHaveDifferentAddresses(t *testing.T) {
	given := map[string]bool{strings.Join(strings.Split(loopback.Address(), ".")[:2], "."): true}
	for range 4 {
		network, stop := startChild(t)
		defer stop()
		assert.Assert(t, !given[network], network)
		given[network] = true
	}
}

// It guards against a network that is claimed while a process of its former owner still listens there.
func TestANetworkIsFreeOnlyOnceNothingOfItsFormerOwnerIsLeft(t *testing.T) {
	network, stop := startChild(t)
	stop()
	left, err := net.Listen("tcp", network+".1.1:7900")
	assert.NilError(t, err)
	defer left.Close()
	next, stop := startChild(t)
	defer stop()
	assert.Assert(t, next != network, "%s is claimed, though a process still listens there", next)
}
