package peer

import (
	"bufio"
	"io"
	"math"

	"github.com/rotisserie/eris"
)

const (
	// maximumUpgradeSize bounds the answer of a peer to the upgrade of a connection in bytes.
	maximumUpgradeSize = 64 << 10
	// maximumMessageSize bounds one message of a peer in bytes; the largest holds a change of the whole configuration.
	maximumMessageSize = 32 << 20
)

// upgradeReader reads the answer to an upgrade through a limit, and then the messages that follow it.
type upgradeReader struct {
	*bufio.Reader
	limit *io.LimitedReader
}

func newUpgradeReader(conn io.Reader) *upgradeReader {
	l := &io.LimitedReader{R: conn, N: maximumUpgradeSize}
	return &upgradeReader{Reader: bufio.NewReader(l), limit: l}
}

// messages lifts the limit and returns the reader of the messages.
func (u *upgradeReader) messages() io.Reader {
	u.limit.N = math.MaxInt64
	return &messageReader{reader: u.Reader}
}

// messageReader reads a stream of gob messages and fails at one that claims more than maximumMessageSize, since the
// decoder reads each message whole. It is not safe for concurrent use.
type messageReader struct {
	reader *bufio.Reader
	// left is the number of bytes of the current message, with its length, that have not been read.
	left int
}

// Read implements io.Reader.
func (m *messageReader) Read(p []byte) (int, error) {
	if m.left == 0 {
		if err := m.begin(); err != nil {
			return 0, err
		}
	}
	n, err := m.reader.Read(p[:min(len(p), m.left)])
	m.left -= n
	return n, err
}

// begin looks at the length of the next message without reading it. A length below 128 is one byte; before any other
// stands the number of its bytes, negated.
func (m *messageReader) begin() error {
	prefix, err := m.reader.Peek(1)
	if err != nil {
		return err
	}
	first := int8(prefix[0])
	if first >= 0 {
		m.left = 1 + int(first)
		return nil
	}
	width := -int(first)
	if prefix, err = m.reader.Peek(1 + width); err != nil {
		return err
	}
	size := 0
	for _, b := range prefix[1:] {
		if size = size<<8 | int(b); size > maximumMessageSize {
			return eris.Errorf("a message of the peer has more than %d bytes", maximumMessageSize)
		}
	}
	m.left = 1 + width + size
	return nil
}
