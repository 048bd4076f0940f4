package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"siskinspar.example/sidecar/memory"
)

const (
	// prefixSize is the number of bytes before each message that hold its length, the most significant first.
	prefixSize = 4
	// maximumMessageSize limits one message of another daemon in bytes. The memory budget of the process may allow less.
	maximumMessageSize = 68 << 20
	// maximumKeptBuffer is the largest buffer in bytes that a connection keeps for the next message.
	maximumKeptBuffer = 16 << 10
)

// stream reads and writes the messages of one connection: a length, then header and body in MessagePack. Unlike gob it
// keeps no state for each connection, of which a daemon has one with each other.
//
// Fields with a zero value are left out, and unknown ones are skipped, so that daemons of two releases understand each
// other when fields are added.
type stream struct {
	conn   io.ReadWriteCloser
	reader *bufio.Reader
	budget *memory.Budget
	// message holds the rest of the message that is being decoded.
	message bytes.Reader
	// buffer holds the message that is being written.
	buffer bytes.Buffer
}

func newStream(conn io.ReadWriteCloser, m *memory.Budget) *stream {
	return &stream{conn: conn, reader: bufio.NewReader(conn), budget: m}
}

// readHeader reads the next message and decodes its header.
func (s *stream) readHeader(header any) error {
	content, err := s.readMessage()
	if err != nil {
		return err
	}
	if err := checkCounts(content); err != nil {
		return err
	}
	s.message.Reset(content)
	return s.decode(header)
}

// readMessage reads a whole message. Memory is acquired as its bytes arrive.
func (s *stream) readMessage() ([]byte, error) {
	var prefix [prefixSize]byte
	if _, err := io.ReadFull(s.reader, prefix[:]); err != nil {
		return nil, err
	}
	size := int64(binary.BigEndian.Uint32(prefix[:]))
	content, err := memory.ReadBody(io.LimitReader(s.reader, size), size, maximumMessageSize, s.budget)
	if err != nil {
		return nil, err
	}
	if int64(len(content)) < size {
		return nil, io.ErrUnexpectedEOF
	}
	return content, nil
}

// readBody decodes the body of the message of which the header was read; nil skips it.
func (s *stream) readBody(body any) error {
	if body == nil {
		return nil
	}
	return s.decode(body)
}

func (s *stream) decode(to any) error {
	d := msgpack.GetDecoder()
	defer msgpack.PutDecoder(d)
	d.Reset(&s.message)
	return d.Decode(to)
}

// write sends a message. After an error the connection can't be used any more, so it is closed.
func (s *stream) write(header, body any) error {
	if err := s.encode(header, body); err != nil {
		// The first error tells more than one of the close.
		_ = s.conn.Close()
		return err
	}
	_, err := s.conn.Write(s.buffer.Bytes())
	if s.buffer.Cap() > maximumKeptBuffer {
		s.buffer = bytes.Buffer{}
	}
	if err != nil {
		_ = s.conn.Close()
	}
	return err
}

// encode puts a message with its length into the buffer.
func (s *stream) encode(header, body any) error {
	s.buffer.Reset()
	s.buffer.Write(make([]byte, prefixSize))
	e := msgpack.GetEncoder()
	defer msgpack.PutEncoder(e)
	e.Reset(&s.buffer)
	e.SetOmitEmpty(true)
	e.UseCompactInts(true)
	if err := e.Encode(header); err != nil {
		return err
	}
	if err := e.Encode(body); err != nil {
		return err
	}
	size := s.buffer.Len() - prefixSize
	if size > maximumMessageSize {
		return memory.ErrTooLarge
	}
	binary.BigEndian.PutUint32(s.buffer.Bytes(), uint32(size))
	return nil
}

// close closes the connection.
func (s *stream) close() error { return s.conn.Close() }
