package peer_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/rpc"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/peer"
)

// expiringContext is a context whose deadline passes when expired is closed.
type expiringContext struct {
	context.Context
	expired chan struct{}
}

func newExpiringContext(t *testing.T) expiringContext {
	return expiringContext{Context: t.Context(), expired: make(chan struct{})}
}

// Done implements context.Context.
func (c expiringContext) Done() <-chan struct{} { return c.expired }

// Err implements context.Context.
func (c expiringContext) Err() error {
	select {
	case <-c.expired:
		return context.DeadlineExceeded
	default:
		return nil
	}
}

// otherDaemon is the side of another daemon of one connection.
type otherDaemon struct {
	t *testing.T
	net.Conn
}

// connectDaemon returns a connection to another daemon and the side of that daemon.
func connectDaemon(t *testing.T) (*peer.Connection, *otherDaemon) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	c := &peer.Connection{Address: l.Addr().String()}
	t.Cleanup(c.Close)
	go func() { _ = c.Call(t.Context(), "Daemon.Echo", "connect", new(string)) }()
	accepted, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	d := &otherDaemon{t: t, Conn: accepted}
	d.reply(d.readCall(), "connected")
	return c, d
}

// readCall reads a call and returns its sequence number.
func (d *otherDaemon) readCall() uint64 {
	d.t.Helper()
	var size [4]byte
	_, err := io.ReadFull(d, size[:])
	assert.NilError(d.t, err)
	content := make([]byte, binary.BigEndian.Uint32(size[:]))
	_, err = io.ReadFull(d, content)
	assert.NilError(d.t, err)
	var header rpc.Request
	assert.NilError(d.t, msgpack.NewDecoder(bytes.NewReader(content)).Decode(&header))
	return header.Seq
}

// encodeReply returns the bytes of the reply to the call with a sequence number.
func (d *otherDaemon) encodeReply(sequence uint64, text string) []byte {
	d.t.Helper()
	var content bytes.Buffer
	e := msgpack.NewEncoder(&content)
	assert.NilError(d.t, e.Encode(rpc.Response{ServiceMethod: "Daemon.Echo", Seq: sequence}))
	assert.NilError(d.t, e.Encode(text))
	return append(binary.BigEndian.AppendUint32(nil, uint32(content.Len())), content.Bytes()...)
}

func (d *otherDaemon) reply(sequence uint64, text string) {
	d.t.Helper()
	_, err := d.Write(d.encodeReply(sequence, text))
	assert.NilError(d.t, err)
}

// callResult is the reply to a call or its error.
type callResult struct {
	reply string
	err   error
}

// call starts a call and returns the channel of its result.
func call(ctx context.Context, c *peer.Connection) <-chan callResult {
	result := make(chan callResult, 1)
	go func() {
		var r callResult
		var reply string
		if r.err = c.Call(ctx, "Daemon.Echo", "text", &reply); r.err == nil {
			r.reply = reply
		}
		result <- r
	}()
	return result
}

// A process with little processor time may find the deadline of a call passed before it has read a reply that came in
// time; the client of an unsafe request then must not get 504 in its place, nor the other daemon count as dead.
func TestAReplyThatLiesUnreadInTheSocketAtTheDeadlineIsReturned(t *testing.T) {
	// With one processor the reading goroutine does not run between the write and the deadline.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	c, d := connectDaemon(t)
	for _, text := range []string{"short", strings.Repeat("long", 8<<10)} {
		for range 20 {
			ctx := newExpiringContext(t)
			result := call(ctx, c)
			d.reply(d.readCall(), text)
			close(ctx.expired)
			r := <-result
			assert.NilError(t, r.err)
			assert.Equal(t, r.reply, text)
		}
	}
}

// All calls on a connection may end at once, and each of them waits until the socket was read.
func TestRepliesToSeveralCallsThatLieUnreadAtTheirDeadlineAreReturned(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	c, d := connectDaemon(t)
	ctx := newExpiringContext(t)
	var results []<-chan callResult
	var sequences []uint64
	for range 20 {
		results = append(results, call(ctx, c))
		sequences = append(sequences, d.readCall())
	}
	for _, s := range sequences {
		d.reply(s, "unread")
	}
	close(ctx.expired)
	for _, result := range results {
		r := <-result
		assert.NilError(t, r.err)
		assert.Equal(t, r.reply, "unread")
	}
}

func TestACallWithoutAWholeReplyAtItsDeadlineEndsAndKeepsTheConnection(t *testing.T) {
	c, d := connectDaemon(t)
	for _, share := range []int{0, 2} {
		ctx := newExpiringContext(t)
		result := call(ctx, c)
		reply := d.encodeReply(d.readCall(), "in two parts")
		first := len(reply) * share / 4
		_, err := d.Write(reply[:first])
		assert.NilError(t, err)
		close(ctx.expired)
		assert.ErrorIs(t, (<-result).err, context.DeadlineExceeded)
		_, err = d.Write(reply[first:])
		assert.NilError(t, err)
		next := call(t.Context(), c)
		d.reply(d.readCall(), "next")
		r := <-next
		assert.NilError(t, r.err)
		assert.Equal(t, r.reply, "next")
	}
}

// The replies to other calls may come without a pause.
func TestACallEndsSoonAfterItsDeadlineBesideADaemonThatSendsWithoutEnd(t *testing.T) {
	c, d := connectDaemon(t)
	ctx := newExpiringContext(t)
	result := call(ctx, c)
	other := bytes.Repeat(d.encodeReply(d.readCall()+1000, strings.Repeat("x", 1000)), 100)
	go func() {
		for {
			if _, err := d.Write(other); err != nil {
				return
			}
		}
	}()
	time.Sleep(20 * time.Millisecond)
	close(ctx.expired)
	select {
	case r := <-result:
		assert.ErrorIs(t, r.err, context.DeadlineExceeded)
	case <-time.After(2 * time.Second):
		t.Fatal("the call does not end")
	}
}

func TestACallOnAConnectionThatHasEndedEndsAtItsDeadline(t *testing.T) {
	for range 20 {
		c, d := connectDaemon(t)
		ctx := newExpiringContext(t)
		result := call(ctx, c)
		d.readCall()
		go func() { _ = d.Close() }()
		close(ctx.expired)
		assert.Assert(t, (<-result).err != nil)
	}
}
