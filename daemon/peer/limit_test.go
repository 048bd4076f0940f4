package peer

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"
)

// endlessPeer accepts one connection, answers with a beginning and repeats a part until the other side closes. It returns
// its address and the number of bytes that it has sent in the end.
func endlessPeer(t *testing.T, beginning string, part string) (string, <-chan int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	sent := make(chan int, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, err = io.WriteString(c, beginning)
		total := len(beginning)
		for parts := strings.Repeat(part, 64<<10/len(part)); err == nil; total += len(parts) {
			_, err = io.WriteString(c, parts)
		}
		sent <- total
	}()
	return l.Addr().String(), sent
}

// It guards against a daemon that keeps what a peer in trouble sends without end, in its answer to the upgrade or in a
// message.
func TestPeersThatSendWithoutEndAreGivenUp(t *testing.T) {
	const upgraded = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: net-rpc\r\n\r\n"
	for _, c := range []struct{ name, beginning, part string }{
		{"a header of the upgrade", "HTTP/1.1 101 Switching Protocols\r\nX-Long: ", "x"},
		{"headers of the upgrade", "HTTP/1.1 101 Switching Protocols\r\n", "X-Many: value\r\n"},
		{"a message of 768 MB", upgraded + "\xfc\x30\x00\x00\x00", "x"},
		{"bytes that are no message", upgraded, "\xf8"},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, sent := endlessPeer(t, c.beginning, c.part)
			p := &Pool{Identity: &Identity{}, Traffic: &Traffic{}, Dialer: &net.Dialer{}}
			t.Cleanup(p.Close)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			started := time.Now()
			assert.Assert(t, p.Call(t.Context(), address, "Peer.None", "", new(string)) != nil)
			runtime.ReadMemStats(&after)
			allocated := after.TotalAlloc - before.TotalAlloc
			assert.Check(t, allocated < 32<<20, "%d MB were allocated in %v", allocated>>20, time.Since(started))
			<-sent
		})
	}
}

// It guards against a daemon that keeps what an authenticated caller sends without end in a message.
func TestACallerThatSendsWithoutEndIsGivenUp(t *testing.T) {
	s := &Server{Identity: &Identity{}, Traffic: &Traffic{}, Methods: &methods{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	h := &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	go func() { _ = h.Serve(l) }()
	t.Cleanup(func() { _ = h.Close() })
	t.Cleanup(s.Close)
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET "+pathRPC+" HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: "+protocolRPC+"\r\n\r\n\xfc\x30\x00\x00\x00")
	assert.NilError(t, err)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for part := make([]byte, 64<<10); err == nil; {
		_, err = c.Write(part)
	}
	runtime.ReadMemStats(&after)
	allocated := after.TotalAlloc - before.TotalAlloc
	assert.Check(t, allocated < 32<<20, "%d MB were allocated", allocated>>20)
}

// methods has one remote method.
type methods struct{}

// Echo returns what it gets.
func (*methods) Echo(text string, reply *string) error {
	*reply = text
	return nil
}

func TestMessagesOfAllSizesAreRead(t *testing.T) {
	var stream bytes.Buffer
	e := gob.NewEncoder(&stream)
	sizes := []int{0, 1, 100, 127, 128, 129, 255, 256, 70_000, 20 << 20}
	for _, size := range sizes {
		assert.NilError(t, e.Encode(strings.Repeat("x", size)))
	}
	d := gob.NewDecoder(&messageReader{reader: bufio.NewReader(iotest.HalfReader(&stream))})
	for _, size := range sizes {
		var text string
		assert.NilError(t, d.Decode(&text))
		assert.Equal(t, len(text), size)
	}
	assert.ErrorIs(t, d.Decode(new(string)), io.EOF)
}
