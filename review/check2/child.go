package main

import (
	"os/exec"
	"runtime"
	"sync"
	"syscall"
)

// starter runs the starts of all processes on one thread that never ends: the death signal of a child comes when the
// thread that started it ends.
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

// startChild starts a process that ends with this one.
func startChild(c *exec.Cmd) error {
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	starter() <- func() { started <- c.Start() }
	return <-started
}
