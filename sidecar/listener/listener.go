package listener

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// acceptPause is the pause after a failed accept, for example when the process has no free file descriptor.
const acceptPause = 20 * time.Millisecond

const (
	// maximumQueued limits the connections that Stop accepts; it is the limit of the kernel on those that wait.
	maximumQueued = 4096
	// queuedTimeout limits the accept of a connection that waits, since its client may have ended it meanwhile.
	queuedTimeout = 100 * time.Millisecond
	// floodTimeout is how long Stop accepts more than the shortest queue, while clients connect without pause.
	floodTimeout = 200 * time.Millisecond
	// shortestQueue is the number of connections that Stop accepts however long it takes.
	shortestQueue = 128
)

// Listener accepts TCP connections and passes each to Serve; its exported fields are set before Run.
type Listener struct {
	// Name is the part that uses the listener, for logs and errors.
	Name    string
	Address string
	// Serve is called with each connection and owns it; it must return before the connection ends.
	Serve  func(c net.Conn)
	Logger *slog.Logger

	listener *net.TCPListener
	done     chan struct{}
}

// Run opens the listener and accepts connections in the background until Stop. It returns an error if it can't listen.
func (l *Listener) Run() error {
	listener, err := net.Listen("tcp", l.Address)
	if err != nil {
		return eris.Wrapf(err, "listen for %s on %s", l.Name, l.Address)
	}
	l.listener = listener.(*net.TCPListener)
	l.done = make(chan struct{})
	go l.accept()
	return nil
}

// accept accepts connections until Stop, then those that the kernel has established before, and closes the listener.
func (l *Listener) accept() {
	defer close(l.done)
	for {
		c, err := l.listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			l.acceptQueued()
			l.close()
			return
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.Logger.Warn(l.Name+": accept failed", "error", err)
			time.Sleep(acceptPause)
			continue
		}
		l.Serve(c)
	}
}

// acceptQueued accepts the connections in the queue of the kernel, which the close of the listener would reset.
func (l *Listener) acceptQueued() {
	began := time.Now()
	for count := range maximumQueued {
		if count >= shortestQueue && time.Since(began) > floodTimeout {
			l.Logger.Warn(l.Name + ": connections still come, those that wait are reset")
			return
		}
		isQueued, err := l.isConnectionQueued()
		if err != nil {
			l.Logger.Warn(l.Name+": can't tell whether connections wait, they are reset", "error", err)
			return
		}
		if !isQueued {
			return
		}
		c, err := l.acceptWithin(queuedTimeout)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if err != nil {
			l.Logger.Warn(l.Name+": accept failed", "error", err)
			if time.Since(began) > floodTimeout {
				return
			}
			time.Sleep(acceptPause)
			continue
		}
		l.Serve(c)
	}
}

// acceptWithin accepts a connection, or returns os.ErrDeadlineExceeded if none can be accepted in time.
func (l *Listener) acceptWithin(limit time.Duration) (net.Conn, error) {
	if err := l.listener.SetDeadline(time.Now().Add(limit)); err != nil {
		return nil, err
	}
	return l.listener.Accept()
}

// isConnectionQueued reports whether a connection waits to be accepted. Accept can't tell: once its deadline has passed,
// it fails without a look at the queue.
func (l *Listener) isConnectionQueued() (bool, error) {
	raw, err := l.listener.SyscallConn()
	if err != nil {
		return false, err
	}
	var count int
	var pollErr error
	err = raw.Control(func(fd uintptr) {
		count, pollErr = poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}})
	})
	return count > 0, errors.Join(err, pollErr)
}

// poll returns the number of file descriptors that are ready now.
func poll(fds []unix.PollFd) (int, error) {
	for {
		count, err := unix.Poll(fds, 0)
		if !errors.Is(err, unix.EINTR) {
			return count, err
		}
	}
}

func (l *Listener) close() {
	if err := l.listener.Close(); err != nil {
		l.Logger.Warn(l.Name+": close of the listener failed", "error", err)
	}
}

// Stop accepts the connections that are established already, closes the listener and waits until it has ended; accepted
// connections stay open.
func (l *Listener) Stop() {
	if err := l.listener.SetDeadline(time.Now()); err != nil {
		l.Logger.Warn(l.Name+": accept can't be ended, connections that wait are reset", "error", err)
		l.close()
	}
	<-l.done
}

// Done returns a channel that is closed once the listener has ended.
func (l *Listener) Done() <-chan struct{} { return l.done }
