//go:build !linux

package child

import "os/exec"

// start starts a command. Only Linux ends it with this process.
func start(c *exec.Cmd) error { return c.Start() }
