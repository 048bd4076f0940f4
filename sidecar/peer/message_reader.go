package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"sync"

	"siskinspar.example/sidecar/memory"
)

// maximumMessageSize limits one gob message of another daemon in bytes. The memory budget of the process may allow less.
const maximumMessageSize = 68 << 20

// messageReader passes on a stream of gob messages, and fails before a message for which there is no memory: the gob
// decoder allocates up to 10 MB for a message before its bytes arrive. It implements io.ByteReader so that the decoder
// does not read ahead.
type messageReader struct {
	reader *bufio.Reader
	budget *memory.Budget
	// left is the number of bytes left of the present message, with its length prefix.
	left int

	mu sync.Mutex
	// acquired is the number of bytes taken from the budget for the present message.
	acquired int
	isClosed bool
}

// Read implements io.Reader.
func (r *messageReader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if r.left == 0 {
		if err := r.begin(); err != nil {
			return 0, err
		}
	}
	n, err := r.reader.Read(p[:min(len(p), r.left)])
	r.left -= n
	if r.left == 0 {
		r.release()
	}
	return n, err
}

// ReadByte implements io.ByteReader.
func (r *messageReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r, b[:])
	return b[0], err
}

// begin reads the length of the next message and acquires the memory for it.
//
// Gob writes a length below 128 as one byte. Otherwise the first byte is the negated number of bytes that hold the
// length, which follow with the most significant one first.
func (r *messageReader) begin() error {
	first, err := r.reader.Peek(1)
	if err != nil {
		return err
	}
	prefix, size := 1, uint64(first[0])
	if width := -int(int8(first[0])); width > 0 {
		if width > binary.Size(size) {
			return memory.ErrTooLarge
		}
		prefix += width
		whole, err := r.reader.Peek(prefix)
		if err != nil {
			return err
		}
		var digits [8]byte
		copy(digits[len(digits)-width:], whole[1:])
		size = binary.BigEndian.Uint64(digits[:])
	}
	if size > maximumMessageSize {
		return memory.ErrTooLarge
	}
	if !r.acquire(int(size)) {
		return memory.ErrExhausted
	}
	r.left = prefix + int(size)
	return nil
}

// acquire takes memory from the budget and reports whether there was enough.
func (r *messageReader) acquire(size int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isClosed || !r.budget.Acquire(size) {
		return false
	}
	r.acquired = size
	return true
}

// release returns the memory of the present message to the budget.
func (r *messageReader) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Release(r.acquired)
	r.acquired = 0
}

// close releases the memory; no message is begun after it.
func (r *messageReader) close() {
	r.release()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isClosed = true
}
