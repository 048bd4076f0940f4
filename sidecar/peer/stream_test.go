package peer

import (
	"bytes"
	"encoding/binary"
	"io"
	"net/rpc"
	"testing"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/memory"
	"siskinspar.example/sidecar/message"
)

// pipe is a connection whose reads and writes go to one buffer.
type pipe struct{ bytes.Buffer }

func (*pipe) Close() error { return nil }

func TestMessagesAreReadAsTheyWereWritten(t *testing.T) {
	p := &pipe{}
	s := newStream(p, &memory.Budget{Bytes: 1 << 20})
	call := message.Call{Ticket: 7, Request: message.Request{ID: "r", Header: map[string][]string{"A": {"b", "c"}}, Body: make([]byte, 100_000)}}
	for range 2 {
		assert.NilError(t, s.write(&rpc.Request{ServiceMethod: "Daemon.Call", Seq: 3}, &call))
	}
	for range 2 {
		var header rpc.Request
		var read message.Call
		assert.NilError(t, s.readHeader(&header))
		assert.Equal(t, header.Seq, uint64(3))
		assert.NilError(t, s.readBody(&read))
		assert.DeepEqual(t, read, call)
	}
	assert.ErrorIs(t, s.readHeader(&rpc.Request{}), io.EOF)
}

// Daemons of two releases run side by side while one replaces the other.
func TestFieldsMayBeAdded(t *testing.T) {
	type older struct{ A int }
	type newer struct {
		A int
		B string
	}
	p := &pipe{}
	s := newStream(p, nil)
	assert.NilError(t, s.write(&newer{A: 1, B: "b"}, &older{A: 2}))
	var header older
	body := newer{B: "kept"}
	assert.NilError(t, s.readHeader(&header))
	assert.NilError(t, s.readBody(&body))
	assert.Equal(t, header, older{A: 1})
	assert.Equal(t, body, newer{A: 2, B: "kept"})
}

// FuzzStream guards against messages that end the process: any bytes are an error or a message.
func FuzzStream(f *testing.F) {
	p := &pipe{}
	assert.NilError(f, newStream(p, nil).write(&rpc.Request{ServiceMethod: "Daemon.Probe"}, &message.Probe{Known: 3}))
	f.Add(p.Bytes()[prefixSize:])
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, content []byte) {
		framed := binary.BigEndian.AppendUint32(nil, uint32(len(content)))
		s := newStream(&pipe{*bytes.NewBuffer(append(framed, content...))}, nil)
		if s.readHeader(&rpc.Request{}) != nil {
			return
		}
		// Whether the body can be decoded does not matter, only that it is tried without a panic.
		_ = s.readBody(&message.Probe{})
	})
}
