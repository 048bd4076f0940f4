package peer

import (
	"net/rpc"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// errCancelled is returned for a call that was cancelled before any part of it was sent.
var errCancelled = eris.New("the call was cancelled before it was sent")

// progress says how far a call got.
type progress = int32

// The values of progress. A call leaves waiting once, to one of the others.
const (
	// waiting means that no part of the call is sent.
	waiting progress = iota
	// sent means that a part of the call may have been sent.
	sent
	// cancelled means that no part of the call is sent, nor will be.
	cancelled
)

// outgoing are the arguments of a call, with its progress.
type outgoing struct {
	arguments any
	progress  atomic.Int32
}

// cancel keeps the call from being sent; it reports false if a part may have been sent already.
func (o *outgoing) cancel() bool {
	return o.progress.CompareAndSwap(waiting, cancelled) || o.progress.Load() == cancelled
}

// clientCodec implements rpc.ClientCodec for calls whose arguments are outgoing.
type clientCodec struct{ *stream }

// WriteRequest implements rpc.ClientCodec.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	o, ok := body.(*outgoing)
	if !ok {
		return rpc.ServerError("the arguments of a call are not *outgoing")
	}
	if !o.progress.CompareAndSwap(waiting, sent) {
		return errCancelled
	}
	return c.write(r, o.arguments)
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error { return c.readHeader(r) }

// ReadResponseBody implements rpc.ClientCodec.
func (c clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

// Close implements rpc.ClientCodec.
func (c clientCodec) Close() error { return c.close() }

// serverCodec implements rpc.ServerCodec. It tells the connection which calls are open.
type serverCodec struct {
	*stream
	conn *servedConn
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if _, err := c.reader.Peek(1); err != nil {
		return err
	}
	c.conn.begin()
	return c.readHeader(r)
}

// ReadRequestBody implements rpc.ServerCodec.
func (c serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

// WriteResponse implements rpc.ServerCodec.
func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer c.conn.end()
	return c.write(r, body)
}

// Close implements rpc.ServerCodec.
func (c serverCodec) Close() error { return c.close() }
