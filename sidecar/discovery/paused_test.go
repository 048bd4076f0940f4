package discovery_test

import (
	"bufio"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/discovery"
	"siskinspar.example/sidecar/member"
	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/peer"
)

const (
	// probedVariable is the environment variable with the address of the daemon that a prober in a process of its own probes.
	probedVariable = "PROBED_DAEMON"
	// replyLine is what such a prober prints for a reply.
	replyLine = "reply received"
)

// printedReplies prints a line for each reply to a probe.
type printedReplies struct{ ownState }

// ReceiveProbe implements discovery.StateExchange.
func (*printedReplies) ReceiveProbe(message.Probe) { fmt.Println(replyLine) }

// runProber probes one daemon until the process ends, and logs to the standard output.
func runProber(t *testing.T, address string) {
	members := member.NewTable()
	members.Add(address, "a")
	p := &discovery.Prober{
		Address: "127.0.0.1:1", DataCentre: "a", Members: members, Pool: &peer.Pool{}, StateExchange: &printedReplies{}, Configuration: noConfiguration{},
		Logger: slog.New(slog.NewTextHandler(os.Stdout, nil)), Relays: func() []string { return nil },
	}
	p.Run(t.Context())
	p.ProbeAll()
	<-p.Done()
}

// A process that gets no processor time for longer than the timeout of a probe must not take the other daemon for dead,
// if that has replied meanwhile.
func TestADaemonWhoseReplyArrivesWhileTheProberIsPausedIsNotUnreachable(t *testing.T) {
	if address := os.Getenv(probedVariable); address != "" {
		runProber(t, address)
		return
	}
	other := &otherDaemon{received: make(chan message.Probe, 100), release: make(chan struct{})}
	address := startOther(t, func(string) any { return other })
	c := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
	c.Env = append(os.Environ(), probedVariable+"="+address)
	output, err := c.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, c.Start())
	defer func() {
		_ = c.Process.Kill()
		_ = c.Wait()
	}()
	<-other.received
	assert.NilError(t, c.Process.Signal(syscall.SIGSTOP))
	time.Sleep(100 * time.Millisecond)
	close(other.release)
	// The probe times out after 1 s; after more than 3 s the prober would hold no failure against the daemon.
	time.Sleep(1500 * time.Millisecond)
	assert.NilError(t, c.Process.Signal(syscall.SIGCONT))
	line, err := bufio.NewReader(output).ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, strings.TrimSpace(line), replyLine)
}
