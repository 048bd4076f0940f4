package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"siskinspar.example/sidecar/bandwidth"
)

const (
	// dialTimeout bounds the set-up of a connection to another daemon.
	dialTimeout = 600 * time.Millisecond
	// userTimeout bounds the time for which sent data may stay unacknowledged.
	userTimeout = 1500 * time.Millisecond
	// redialPause keeps calls from dialling a daemon that has just failed to answer.
	redialPause = 200 * time.Millisecond
)

// ErrNotSent reports a call of which nothing was sent.
var ErrNotSent = eris.New("no connection to the daemon")

// Link is the connection to one daemon; it is dialled on use and safe for concurrent use.
type Link struct {
	Address string
	// Pacer paces large calls; nil paces nothing.
	Pacer *bandwidth.Pacer

	mu      sync.Mutex
	client  *rpc.Client
	dialing chan struct{}
	failed  time.Time
	pending int
}

// Call sends a call and waits for its reply until the context ends; the reply must not be read after an error.
func (l *Link) Call(ctx context.Context, method string, arguments, reply any) error {
	client, err := l.connect(ctx)
	if err != nil {
		return eris.Wrapf(ErrNotSent, "call %s at %s: %v", method, l.Address, err)
	}
	l.count(1)
	defer l.count(-1)
	call := client.Go(method, arguments, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error != nil {
			l.drop(client)
			return eris.Wrapf(call.Error, "call %s at %s", method, l.Address)
		}
		return nil
	case <-ctx.Done():
		return eris.Wrapf(ctx.Err(), "call %s at %s", method, l.Address)
	}
}

func (l *Link) count(change int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending += change
}

// IsBusy reports whether calls wait for a reply on an open connection.
func (l *Link) IsBusy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.client != nil && l.pending > 0
}

// Close ends the connection; the next call dials anew.
func (l *Link) Close() {
	l.mu.Lock()
	client := l.client
	l.mu.Unlock()
	if client != nil {
		l.drop(client)
	}
}

func (l *Link) drop(client *rpc.Client) {
	l.mu.Lock()
	isCurrent := l.client == client
	if isCurrent {
		l.client = nil
	}
	l.mu.Unlock()
	if !isCurrent {
		return
	}
	// A second close of the client reports only that it was shut down before.
	_ = client.Close()
}

// connect returns the open connection, or dials; one dial serves all who wait.
func (l *Link) connect(ctx context.Context) (*rpc.Client, error) {
	for {
		l.mu.Lock()
		if l.client != nil {
			defer l.mu.Unlock()
			return l.client, nil
		}
		if time.Since(l.failed) < redialPause {
			l.mu.Unlock()
			return nil, eris.New("the last attempt to connect has just failed")
		}
		if l.dialing == nil {
			l.dialing = make(chan struct{})
			go l.dial(l.dialing)
		}
		wait := l.dialing
		l.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (l *Link) dial(done chan struct{}) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: setUserTimeout(userTimeout)}
	conn, err := dialer.Dial("tcp", l.Address)
	l.mu.Lock()
	l.dialing = nil
	if err != nil {
		l.failed = time.Now()
	} else {
		l.client = rpc.NewClient(newPacedConn(conn, l.Pacer))
	}
	l.mu.Unlock()
	close(done)
}
