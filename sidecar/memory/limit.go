package memory

import "io"

// Limiter is a reader that fails with ErrTooLarge once the bytes that were allowed have been read. It bounds the head of
// a message, which a parser reads up to its end. It is not safe for concurrent use.
type Limiter struct {
	// Reader is the source; it is set before use.
	Reader io.Reader

	// left is the number of bytes that may still be read while isLimited.
	left      int
	isLimited bool
}

// Allow limits the bytes that may be read from now on.
func (l *Limiter) Allow(size int) { l.left, l.isLimited = max(0, size), true }

// AllowAll lifts the limit.
func (l *Limiter) AllowAll() { l.isLimited = false }

// Read implements io.Reader.
func (l *Limiter) Read(p []byte) (int, error) {
	if !l.isLimited {
		return l.Reader.Read(p)
	}
	if l.left <= 0 {
		return 0, ErrTooLarge
	}
	n, err := l.Reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
