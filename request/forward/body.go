package forward

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"
)

// MaximumReplaySize is the largest size in bytes of a request body that is buffered, so that a retry can send it again.
const MaximumReplaySize = 64 << 10

// copySize is the size in bytes of the buffers through which response bodies are copied.
const copySize = 32 << 10

// copyBuffers holds buffers of copySize for reuse.
var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copySize)
	return &b
}}

// Body is a request body, buffered if it is small and streamed if not.
//
// A buffered body can be attached to several requests at once, a streamed one only to one request at a time.
type Body struct {
	kept       []byte
	stream     io.ReadCloser
	length     int64
	isConsumed bool
}

// ReadBody reads the body of r if its length is known and at most MaximumReplaySize; any other body is streamed.
//
// It returns an error if a body that it buffers can't be read whole.
func ReadBody(r *http.Request) (*Body, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return &Body{}, nil
	}
	if r.ContentLength < 0 || r.ContentLength > MaximumReplaySize {
		return &Body{stream: r.Body, length: r.ContentLength}, nil
	}
	kept, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, eris.Wrap(err, "read request body")
	}
	return &Body{kept: kept, length: int64(len(kept))}, nil
}

// IsReplayable reports whether the body can still be sent whole: it is buffered, or nothing of it has been read.
func (b *Body) IsReplayable() bool { return b.stream == nil || !b.isConsumed }

// IsStreamed reports whether the body is streamed as it arrives.
func (b *Body) IsStreamed() bool { return b.stream != nil }

// Kept returns a buffered body, or nil if the body is streamed or empty.
func (b *Body) Kept() []byte { return b.kept }

// Attach sets the body and its length on an outgoing request.
//
// With a streamed body it also sets Expect: 100-continue, so that the body is read only once the receiver accepts the
// request. After a refusal the body is still unread and can be sent to another daemon.
func (b *Body) Attach(out *http.Request) {
	out.ContentLength = b.length
	switch {
	case b.stream != nil:
		out.Body = &trackedStream{ReadCloser: io.NopCloser(b.stream), body: b}
		out.Header.Set("Expect", "100-continue")
	case len(b.kept) == 0:
		out.Body = http.NoBody
	default:
		out.Body = io.NopCloser(bytes.NewReader(b.kept))
	}
}

// trackedStream marks a streamed body as consumed at its first read, after which it can't be sent again.
type trackedStream struct {
	io.ReadCloser
	body *Body
}

func (ts *trackedStream) Read(p []byte) (int, error) {
	ts.body.isConsumed = true
	return ts.ReadCloser.Read(p)
}

// SendResponse copies a response with its body and trailers to w, without the headers of one hop and of the mesh.
//
// It returns an error if the body could not be read or written whole. The connection then has to be aborted, so that
// the client does not take the response for a whole one.
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

// announceTrailers adds the names of the trailers that are known before the body to the header and returns them.
func announceTrailers(h http.Header, trailer http.Header) map[string]bool {
	announced := make(map[string]bool, len(trailer))
	for name := range trailer {
		h.Add("Trailer", name)
		announced[name] = true
	}
	return announced
}

// copyBody copies the body and flushes after each read if its length is unknown, since it may be a slow stream.
func copyBody(w http.ResponseWriter, response *http.Response) error {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	flush := func() {}
	if f, ok := w.(http.Flusher); ok && response.ContentLength < 0 {
		flush = f.Flush
	}
	for {
		n, err := response.Body.Read(*buffer)
		if n > 0 {
			if _, writeErr := w.Write((*buffer)[:n]); writeErr != nil {
				return eris.Wrap(writeErr, "write response body")
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
