package listener

import (
	"errors"
	"log/slog"
	"net"
	"time"

	"github.com/rotisserie/eris"
)

// acceptPause follows a failed accept, as for want of descriptors.
const acceptPause = 20 * time.Millisecond

// Listener hands accepted connections on; its exported fields are set before Run.
type Listener struct {
	// Name says for whom the listener is, in logs.
	Name    string
	Address string
	// Serve takes over a connection without waiting for its end.
	Serve  func(c net.Conn)
	Logger *slog.Logger

	listener net.Listener
	done     chan struct{}
}

// Run listens and accepts until Stop.
func (l *Listener) Run() error {
	listener, err := net.Listen("tcp", l.Address)
	if err != nil {
		return eris.Wrapf(err, "listen for %s on %s", l.Name, l.Address)
	}
	l.listener = listener
	l.done = make(chan struct{})
	go l.accept()
	return nil
}

func (l *Listener) accept() {
	defer close(l.done)
	for {
		c, err := l.listener.Accept()
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

// Stop closes the listener; connections stay open.
func (l *Listener) Stop() {
	if err := l.listener.Close(); err != nil {
		l.Logger.Warn(l.Name+": close of the listener failed", "error", err)
	}
	<-l.done
}

// Done returns a channel that is closed once the listener has ended.
func (l *Listener) Done() <-chan struct{} { return l.done }
