package child

import (
	"bytes"
	"context"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// readyTimeout bounds the time from the start of a process until it says that it is ready.
const readyTimeout = 30 * time.Second

// Child is a process that ends with its parent. The exported fields are set before Run.
type Child struct {
	// Path is the program, Arguments are its arguments.
	Path      string
	Arguments []string
	// Environment holds variables as NAME=value, beside those of this process.
	Environment []string
	// Ready is a text of which the output of the process holds one once it serves; empty means that it need not say so.
	Ready string
	// Output gets the output of the process too; nil means that only the child keeps it.
	Output io.Writer

	command *exec.Cmd
	output  output
	done    chan struct{}
}

// Run starts the process and waits until it says that it is ready. The error of a process that ends before, or does not
// say so in time, holds its arguments and its output; the process does not run any more then.
func (c *Child) Run() error {
	c.command = exec.Command(c.Path, c.Arguments...)
	c.output.mark, c.output.copy, c.output.marked = c.Ready, c.Output, make(chan struct{})
	c.command.Env = append(os.Environ(), c.Environment...)
	c.command.Stdout = &c.output
	c.command.Stderr = &c.output
	if err := start(c.command); err != nil {
		return eris.Wrapf(err, "start %s", c.name())
	}
	c.done = make(chan struct{})
	go func() {
		defer close(c.done)
		// The exit status is in ProcessState; most children are killed.
		_ = c.command.Wait()
	}()
	if c.Ready == "" {
		return nil
	}
	return c.awaitReady()
}

func (c *Child) awaitReady() error {
	limited, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	select {
	case <-c.output.marked:
		return nil
	case <-c.done:
		return eris.Errorf("%s ended at its start with code %d:\n%s", c.name(), c.ExitCode(), c.Text())
	case <-limited.Done():
		c.Kill()
		return eris.Errorf("%s did not say %q within %v:\n%s", c.name(), c.Ready, readyTimeout, c.Text())
	}
}

// name returns the program with its arguments.
func (c *Child) name() string { return strings.Join(append([]string{c.Path}, c.Arguments...), " ") }

// ID returns the ID of the process.
func (c *Child) ID() int { return c.command.Process.Pid }

// Done returns a channel that is closed once the process has ended.
func (c *Child) Done() <-chan struct{} { return c.done }

// ExitCode returns the exit code of a process that has ended, or -1 if a signal ended it.
func (c *Child) ExitCode() int { return c.command.ProcessState.ExitCode() }

// Text returns what the process has written until now.
func (c *Child) Text() string { return c.output.text() }

// Signal sends a signal to the process. One that has ended already gets none.
func (c *Child) Signal(s os.Signal) {
	// The error says only that the process has ended.
	_ = c.command.Process.Signal(s)
}

// Kill ends the process with SIGKILL and waits for its end. It may be called more than once.
func (c *Child) Kill() {
	c.Signal(syscall.SIGKILL)
	<-c.done
}

// output keeps what a process writes. It is safe for concurrent use.
type output struct {
	mu      sync.Mutex
	content bytes.Buffer
	// copy gets what is written too, unless it is nil.
	copy io.Writer
	// marked is closed once content holds mark.
	mark     string
	marked   chan struct{}
	isMarked bool
}

// Write implements io.Writer.
func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.content.Write(p)
	if !o.isMarked && o.mark != "" && bytes.Contains(o.content.Bytes(), []byte(o.mark)) {
		o.isMarked = true
		close(o.marked)
	}
	if o.copy != nil {
		return o.copy.Write(p)
	}
	return len(p), nil
}

func (o *output) text() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.content.String()
}
