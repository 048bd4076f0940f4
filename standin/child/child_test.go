package child_test

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/standin/child"
	"siskinspar.example/standin/loopback"
)

// roleVariable makes the test binary run as a parent, as a child or as one that listens.
const roleVariable = "CHILD_TEST_ROLE"

// goneTimeout is how long a child may outlive its parent.
const goneTimeout = 2 * time.Second

func TestMain(m *testing.M) {
	switch role := os.Getenv(roleVariable); {
	case role == "child":
		fmt.Println("child: ready")
		select {}
	case strings.HasPrefix(role, "listen "):
		listen(strings.TrimPrefix(role, "listen "))
	case strings.HasPrefix(role, "parent"):
		runParent(strings.TrimPrefix(role, "parent "))
	}
	os.Exit(m.Run())
}

// listen listens on an address for ever, or ends with an error.
func listen(address string) {
	_, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	fmt.Println("listening")
	select {}
}

// runParent starts a child, suspends it if asked to, prints its ID and ends in one of several ways.
func runParent(way string) {
	setRole("child")
	c := &child.Child{Path: os.Args[0], Ready: "child: ready"}
	if err := c.Run(); err != nil {
		panic(err)
	}
	if way == "suspended" {
		c.Signal(syscall.SIGSTOP)
	}
	fmt.Println(c.ID())
	switch way {
	case "panics":
		panic("the end of the parent")
	case "exits":
		os.Exit(1)
	}
	select {}
}

func setRole(role string) {
	if err := os.Setenv(roleVariable, role); err != nil {
		panic(err)
	}
}

// isRunning reports whether a process exists and is no zombie.
func isRunning(id int) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", id))
	if err != nil {
		return false
	}
	fields := strings.Fields(string(status[strings.LastIndexByte(string(status), ')')+1:]))
	return fields[0] != "Z" && fields[0] != "X"
}

// It guards against children that outlive the process of their test and answer the next one.
func TestAChildEndsWithItsParent(t *testing.T) {
	for _, way := range []string{"killed", "interrupted", "panics", "exits", "suspended"} {
		t.Run(way, func(t *testing.T) {
			parent := exec.Command(os.Args[0])
			parent.Env = append(os.Environ(), roleVariable+"=parent "+way)
			output, err := parent.StdoutPipe()
			assert.NilError(t, err)
			assert.NilError(t, parent.Start())
			line, err := bufio.NewReader(output).ReadString('\n')
			assert.NilError(t, err)
			id, err := strconv.Atoi(strings.TrimSpace(line))
			assert.NilError(t, err)
			switch way {
			case "killed", "suspended":
				assert.Assert(t, isRunning(id))
				assert.NilError(t, parent.Process.Kill())
			case "interrupted":
				assert.Assert(t, isRunning(id))
				assert.NilError(t, parent.Process.Signal(os.Interrupt))
			}
			_ = parent.Wait()
			for deadline := time.Now().Add(goneTimeout); isRunning(id); time.Sleep(10 * time.Millisecond) {
				assert.Assert(t, time.Now().Before(deadline), "the child %d outlives its parent", id)
			}
		})
	}
}

// The goroutine that starts a child may end with its thread, which must not end the child.
func TestAChildOutlivesTheGoroutineThatStartedIt(t *testing.T) {
	t.Setenv(roleVariable, "child")
	c := &child.Child{Path: os.Args[0], Ready: "child: ready"}
	failed := make(chan error)
	go func() { failed <- c.Run() }()
	assert.NilError(t, <-failed)
	time.Sleep(200 * time.Millisecond)
	assert.Assert(t, isRunning(c.ID()))
	c.Kill()
	c.Kill()
	assert.Assert(t, !isRunning(c.ID()))
}

// It guards against a stranger at the address of a child that is taken for it.
func TestAChildWhoseAddressIsTakenFailsAtItsStart(t *testing.T) {
	address := loopback.Address()
	stranger, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	defer stranger.Close()
	t.Setenv(roleVariable, "listen "+address)
	c := &child.Child{Path: os.Args[0], Arguments: []string{"--listen", address}, Ready: "listening"}
	err = c.Run()
	assert.ErrorContains(t, err, "ended at its start with code 1")
	assert.ErrorContains(t, err, "--listen "+address)
	assert.ErrorContains(t, err, address+": bind: address already in use")
}

func TestOutputIsCopied(t *testing.T) {
	t.Setenv(roleVariable, "child")
	var copied strings.Builder
	c := &child.Child{Path: os.Args[0], Ready: "child: ready", Output: &copied}
	assert.NilError(t, c.Run())
	c.Kill()
	assert.Equal(t, copied.String(), c.Text())
	assert.Equal(t, c.ExitCode(), -1)
}
