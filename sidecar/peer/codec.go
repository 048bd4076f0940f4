package peer

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"siskinspar.example/sidecar/memory"
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

// gobStream encodes and decodes messages with gob on one connection, as the codecs of net/rpc do, and bounds the size of
// the messages that it reads.
type gobStream struct {
	conn    io.Closer
	reader  *messageReader
	decoder *gob.Decoder
	encoder *gob.Encoder
	buffer  *bufio.Writer
}

func newGobStream(conn io.ReadWriteCloser, m *memory.Budget) *gobStream {
	r := &messageReader{reader: bufio.NewReader(conn), budget: m}
	b := bufio.NewWriter(conn)
	return &gobStream{conn: conn, reader: r, decoder: gob.NewDecoder(r), encoder: gob.NewEncoder(b), buffer: b}
}

// close closes the connection and releases the memory of a message that was being read.
func (s *gobStream) close() error {
	s.reader.close()
	return s.conn.Close()
}

// write sends a message. After an error the stream can't be used any more, so it is closed.
func (s *gobStream) write(header, body any) error {
	err := s.encoder.Encode(header)
	if err == nil {
		err = s.encoder.Encode(body)
	}
	if err == nil {
		err = s.buffer.Flush()
	}
	if err != nil {
		// The first error tells more than one of the close.
		_ = s.conn.Close()
	}
	return err
}

// clientCodec implements rpc.ClientCodec for calls whose arguments are outgoing.
type clientCodec struct{ *gobStream }

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
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error { return c.decoder.Decode(r) }

// ReadResponseBody implements rpc.ClientCodec.
func (c clientCodec) ReadResponseBody(body any) error { return c.decoder.Decode(body) }

// Close implements rpc.ClientCodec.
func (c clientCodec) Close() error { return c.close() }

// serverCodec implements rpc.ServerCodec.
type serverCodec struct{ *gobStream }

// ReadRequestHeader implements rpc.ServerCodec.
func (c serverCodec) ReadRequestHeader(r *rpc.Request) error { return c.decoder.Decode(r) }

// ReadRequestBody implements rpc.ServerCodec.
func (c serverCodec) ReadRequestBody(body any) error { return c.decoder.Decode(body) }

// WriteResponse implements rpc.ServerCodec.
func (c serverCodec) WriteResponse(r *rpc.Response, body any) error { return c.write(r, body) }

// Close implements rpc.ServerCodec.
func (c serverCodec) Close() error { return c.close() }
