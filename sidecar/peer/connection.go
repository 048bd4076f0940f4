package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"siskinspar.example/sidecar/bandwidth"
	"siskinspar.example/sidecar/memory"
)

const (
	// dialTimeout limits the set-up of a connection to another daemon.
	dialTimeout = 600 * time.Millisecond
	// userTimeout limits how long sent data may stay unacknowledged; see setUserTimeout.
	userTimeout = 1500 * time.Millisecond
	// redialDelay is the time after a failed dial in which calls fail at once instead of dialling again.
	redialDelay = 200 * time.Millisecond
	// drainTimeout limits how long a call reads what has arrived once its context has ended: the other daemon may go on
	// sending the replies to other calls.
	drainTimeout = 100 * time.Millisecond
)

// ErrNotSent is wrapped by Connection.Call if no byte of the call was sent: no connection was available, or the
// connection ended before.
var ErrNotSent = eris.New("no connection to the daemon")

// Connection is one connection to a daemon, which is dialled when a call needs it. It is safe for concurrent use.
type Connection struct {
	// Address is the TCP address of the daemon.
	Address string
	// Pacer limits the rate at which large calls are sent; nil means no limit.
	Pacer *bandwidth.Pacer
	// Memory bounds the replies that are being read; nil means no limit.
	Memory *memory.Budget

	mu sync.Mutex
	// client is nil while no connection is open.
	client *client
	// dialing is closed when the dial in progress ends; it is nil if there is none.
	dialing chan struct{}
	// failedAt is when the last dial failed.
	failedAt time.Time
	// isRefused is true if the last dial failed because nobody listens at the address.
	isRefused bool
	// pending is the number of calls that wait for a reply.
	pending int
}

// client calls a daemon over an open connection.
type client struct {
	*rpc.Client
	conn *clientConn
}

// Call sends a call and waits for its reply until the context ends. A reply that has arrived when the context ends because of
// context.DeadlineExceeded is returned. After an error the reply must not be read, since a late reply may still be written
// to it. An error other than the end of the context also closes the connection, unless the call was not sent, which is
// reported as ErrNotSent.
func (c *Connection) Call(ctx context.Context, method string, arguments, reply any) error {
	client, err := c.connect(ctx)
	if err != nil {
		return eris.Wrapf(ErrNotSent, "call %s at %s: %v", method, c.Address, err)
	}
	c.addPending(1)
	defer c.addPending(-1)
	o := &outgoing{arguments: arguments}
	done := make(chan *rpc.Call, 1)
	// A large call waits for its turn on the link, and the context may end meanwhile.
	go client.Go(method, o, reply, done)
	select {
	case call := <-done:
		return c.handleResult(client, o, call.Error, method)
	case <-ctx.Done():
		if o.cancel() {
			return eris.Wrapf(ErrNotSent, "call %s at %s: %v", method, c.Address, ctx.Err())
		}
		if call := client.arrivedReply(ctx, done); call != nil {
			return c.handleResult(client, o, call.Error, method)
		}
		return eris.Wrapf(ctx.Err(), "call %s at %s", method, c.Address)
	}
}

// arrivedReply returns the call if its reply is ready or has arrived by the deadline of the context, whether it is read
// yet or not, and otherwise nil. After a cancellation nobody waits for the reply.
func (c *client) arrivedReply(ctx context.Context, done <-chan *rpc.Call) *rpc.Call {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		timer := time.NewTimer(drainTimeout)
		defer timer.Stop()
		select {
		case call := <-done:
			return call
		case <-c.conn.drained():
		case <-timer.C:
		}
	}
	select {
	case call := <-done:
		return call
	default:
		return nil
	}
}

// handleResult closes the connection after a failed call, and returns the error of the call.
func (c *Connection) handleResult(client *client, o *outgoing, err error, method string) error {
	if err == nil {
		return nil
	}
	c.drop(client)
	if o.cancel() {
		return eris.Wrapf(ErrNotSent, "call %s at %s: %v", method, c.Address, err)
	}
	return eris.Wrapf(err, "call %s at %s", method, c.Address)
}

func (c *Connection) addPending(change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending += change
}

// IsRefused reports whether the last attempt to connect was refused, so that no daemon runs at the address.
func (c *Connection) IsRefused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isRefused
}

// IsBusy reports whether the connection is open and calls wait for a reply.
func (c *Connection) IsBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.client != nil && c.pending > 0
}

// Close closes the connection; the next call dials again.
func (c *Connection) Close() {
	c.mu.Lock()
	client := c.client
	c.mu.Unlock()
	if client != nil {
		c.drop(client)
	}
}

// drop closes a client, unless the connection has already dropped it.
func (c *Connection) drop(client *client) {
	c.mu.Lock()
	isCurrent := c.client == client
	if isCurrent {
		c.client = nil
	}
	c.mu.Unlock()
	if !isCurrent {
		return
	}
	// The only error is that the client was already shut down.
	_ = client.Close()
}

// connect returns the client of the open connection, or dials. Concurrent calls wait for the same dial.
func (c *Connection) connect(ctx context.Context) (*client, error) {
	for {
		c.mu.Lock()
		if c.client != nil {
			defer c.mu.Unlock()
			return c.client, nil
		}
		if time.Since(c.failedAt) < redialDelay {
			c.mu.Unlock()
			return nil, eris.New("the last attempt to connect has just failed")
		}
		if c.dialing == nil {
			c.dialing = make(chan struct{})
			go c.dial(c.dialing)
		}
		wait := c.dialing
		c.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// dial opens the connection, records the result in the connection and closes done.
func (c *Connection) dial(done chan struct{}) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: setUserTimeout(userTimeout)}
	conn, err := dialer.Dial("tcp", c.Address)
	c.mu.Lock()
	c.dialing = nil
	c.isRefused = errors.Is(err, syscall.ECONNREFUSED)
	if err != nil {
		c.failedAt = time.Now()
	} else {
		n := newClientConn(conn)
		c.client = &client{Client: rpc.NewClientWithCodec(clientCodec{newStream(newPacedConn(n, c.Pacer), c.Memory)}), conn: n}
	}
	c.mu.Unlock()
	close(done)
}
