package memory

import (
	"errors"
	"io"
	"sync/atomic"
)

// The errors of ReadBody, besides those of the reader.
var (
	// ErrTooLarge means that the body is longer than the limit.
	ErrTooLarge = errors.New("the body is larger than its limit")
	// ErrExhausted means that the bodies that are being read have used up the budget.
	ErrExhausted = errors.New("the memory for bodies is used up")
)

// Budget is a number of bytes that several bodies share. A nil Budget has no limit. It is safe for concurrent use.
type Budget struct {
	// Bytes is the size of the budget; it is set before use.
	Bytes int64
	// Whole is the budget of which this one is a part, or nil; what is acquired counts for both. It is set before use.
	Whole *Budget

	used atomic.Int64
}

// Acquire takes some bytes from the budget and reports whether there were enough.
func (b *Budget) Acquire(size int) bool {
	if b == nil {
		return true
	}
	if !b.take(int64(size)) {
		return false
	}
	if b.Whole.Acquire(size) {
		return true
	}
	b.used.Add(-int64(size))
	return false
}

// take adds to the bytes in use if they stay within the budget. A size that does not fit is at no time counted.
func (b *Budget) take(size int64) bool {
	for {
		used := b.used.Load()
		if used+size > b.Bytes {
			return false
		}
		if b.used.CompareAndSwap(used, used+size) {
			return true
		}
	}
}

// Release returns bytes that were acquired.
func (b *Budget) Release(size int) {
	if b != nil {
		b.used.Add(-int64(size))
		b.Whole.Release(size)
	}
}

const (
	// initialSize is the size in bytes of the buffer for a body of unknown length.
	initialSize = 2 << 10
	// growthFactor is the factor by which a full buffer grows.
	growthFactor = 2
)

// ReadBody reads a body up to its end. The limit is its largest size in bytes, and length is its expected size or below
// 0. Memory is acquired as the bytes arrive, whatever length says, and is released when ReadBody returns.
func ReadBody(r io.Reader, length int64, limit int, b *Budget) ([]byte, error) {
	if length > int64(limit) {
		return nil, ErrTooLarge
	}
	size := initialSize
	if length >= 0 && length < initialSize {
		size = int(length) + 1
	}
	if !b.Acquire(size) {
		return nil, ErrExhausted
	}
	body := make([]byte, 0, size)
	defer func() { b.Release(size) }()
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
			return nil, ErrTooLarge
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
		if len(body) < cap(body) {
			continue
		}
		next := nextSize(len(body), length, limit)
		if !b.Acquire(next - size) {
			return nil, ErrExhausted
		}
		size = next
		body = append(make([]byte, 0, next), body...)
	}
}

// nextSize returns the size of the next buffer for a body of which the bytes read fill the present one. The buffer has
// one byte more than the body may have, so that a longer body is noticed.
func nextSize(read int, length int64, limit int) int {
	next := growthFactor * read
	if length >= int64(read) {
		next = min(next, int(length)+1)
	}
	return min(next, limit+1)
}
