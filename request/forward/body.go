package forward

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"
)

// ReplaySize is the largest body in bytes that is kept so that it can be sent to a second daemon.
const ReplaySize = 64 << 10

const copySize = 32 << 10

var buffers = sync.Pool{New: func() any {
	b := make([]byte, copySize)
	return &b
}}

// Body is a request body that is kept whole when it is small and streamed when it is not.
type Body struct {
	kept     []byte
	stream   io.ReadCloser
	length   int64
	isUsedUp bool
}

// ReadBody keeps a body whose stated length is at most ReplaySize and leaves any other to be streamed.
func ReadBody(r *http.Request) (*Body, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return &Body{}, nil
	}
	if r.ContentLength < 0 || r.ContentLength > ReplaySize {
		return &Body{stream: r.Body, length: r.ContentLength}, nil
	}
	kept, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, eris.Wrap(err, "read request body")
	}
	return &Body{kept: kept, length: int64(len(kept))}, nil
}

// IsReplayable reports whether the body can still be sent whole.
func (b *Body) IsReplayable() bool { return b.stream == nil || !b.isUsedUp }

// IsStreamed reports whether the body is passed on as it arrives.
func (b *Body) IsStreamed() bool { return b.stream != nil }

// Kept returns the bytes of a body that is kept whole.
func (b *Body) Kept() []byte { return b.kept }

// Attach makes the body that of an outgoing request.
//
// A streamed body waits for the receiver's consent before its first byte, so that a refusal leaves it whole.
func (b *Body) Attach(out *http.Request) {
	out.ContentLength = b.length
	switch {
	case b.stream != nil:
		out.Body = &marked{ReadCloser: io.NopCloser(b.stream), body: b}
		out.Header.Set("Expect", "100-continue")
	case len(b.kept) == 0:
		out.Body = http.NoBody
	default:
		out.Body = io.NopCloser(bytes.NewReader(b.kept))
	}
}

// marked notes the first read, after which a streamed body can't be sent again.
type marked struct {
	io.ReadCloser
	body *Body
}

func (m *marked) Read(p []byte) (int, error) {
	m.body.isUsedUp = true
	return m.ReadCloser.Read(p)
}

// SendResponse copies a whole response with its trailers to a client.
//
// The error tells that the body was cut short; the caller of SendResponse then
// has to abort the connection, so that the client sees that it is not whole.
func SendResponse(w http.ResponseWriter, response *http.Response) error {
	CopyHeader(w.Header(), response.Header)
	announced := announceTrailers(w.Header(), response.Trailer)
	w.WriteHeader(response.StatusCode)
	if err := copyBody(w, response); err != nil {
		return err
	}
	for name, values := range response.Trailer {
		if !announced[name] {
			name = http.TrailerPrefix + name
		}
		w.Header()[name] = values
	}
	return nil
}

func announceTrailers(h http.Header, trailer http.Header) map[string]bool {
	announced := make(map[string]bool, len(trailer))
	for name := range trailer {
		h.Add("Trailer", name)
		announced[name] = true
	}
	return announced
}

func copyBody(w http.ResponseWriter, response *http.Response) error {
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	flush := func() {}
	if f, ok := w.(http.Flusher); ok && response.ContentLength < 0 {
		flush = f.Flush
	}
	for {
		n, err := response.Body.Read(*buffer)
		if n > 0 {
			if _, failed := w.Write((*buffer)[:n]); failed != nil {
				return eris.Wrap(failed, "write response body")
			}
			flush()
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "read response body")
		}
	}
}
