package child

import (
	"os/exec"
	"runtime"
	"sync"
	"syscall"
)

// starter returns the channel of the goroutine that starts all children. It stays on one thread, which never ends: the
// kernel sends the death signal of a child when the thread that started it ends, not the whole process.
var starter = sync.OnceValue(func() chan<- func() {
	starts := make(chan func())
	go func() {
		runtime.LockOSThread()
		for begin := range starts {
			begin()
		}
	}()
	return starts
})

// start starts a command that the kernel kills once this process has ended.
func start(c *exec.Cmd) error {
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	starter() <- func() { started <- c.Start() }
	return <-started
}
