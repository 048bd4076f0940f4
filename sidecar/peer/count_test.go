package peer

import (
	"bytes"
	"encoding/binary"
	"net/rpc"
	"runtime"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/memory"
	"siskinspar.example/sidecar/message"
)

// framed returns a message with a header and the bytes of a body.
func framed(t *testing.T, body []byte) *pipe {
	t.Helper()
	header, err := msgpack.Marshal(&rpc.Request{ServiceMethod: "Daemon.Probe"})
	assert.NilError(t, err)
	content := append(header, body...)
	return &pipe{*bytes.NewBuffer(append(binary.BigEndian.AppendUint32(nil, uint32(len(content))), content...))}
}

// It guards against messages of a few bytes that make a daemon allocate as much as the counts in them claim, up to four
// billion elements, which ends the process.
func TestAMessageThatClaimsManyElementsIsRefused(t *testing.T) {
	const maximumAllocation = 64 << 20
	claim := func(field string, count ...byte) []byte {
		b := append([]byte{0x81, 0xa0 | byte(len(field))}, field...)
		return append(b, count...)
	}
	for name, body := range map[string][]byte{
		"an array without its elements":    claim("Crashes", 0xdd, 0, 0x98, 0x96, 0x80),
		"an array of empty elements":       append(claim("Crashes", 0xdd, 0, 0x10, 0, 0), bytes.Repeat([]byte{0xc0}, 0x100000)...),
		"a map without its elements":       claim("Record", 0xdf, 0xff, 0xff, 0xff, 0xff),
		"arrays that are large together":   append(claim("Rollouts", 0xdc, 0xff, 0xff), bytes.Repeat(append([]byte{0x81, 0xa1, 'x', 0xdc, 0xff, 0xff}, bytes.Repeat([]byte{0xc0}, 0xffff)...), 4)...),
		"a text that is longer than it is": claim("Known", 0xdb, 0xff, 0xff, 0xff, 0xff),
	} {
		t.Run(name, func(t *testing.T) {
			s := newStream(framed(t, body), &memory.Budget{Bytes: 8 << 20})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			err := s.readHeader(&rpc.Request{})
			if err == nil {
				err = s.readBody(&message.Probe{})
			}
			runtime.ReadMemStats(&after)
			assert.Check(t, err != nil)
			allocated := after.TotalAlloc - before.TotalAlloc
			assert.Check(t, allocated < maximumAllocation, "%d MB were allocated", allocated>>20)
		})
	}
}

func TestTheLargestMessagesOfDaemonsAreRead(t *testing.T) {
	members := make([]string, 60_000)
	for i := range members {
		members[i] = "10.128.100.100:7000"
	}
	p := &pipe{}
	s := newStream(p, nil)
	assert.NilError(t, s.write(&rpc.Response{ServiceMethod: "Daemon.Members"}, &members))
	assert.NilError(t, s.readHeader(&rpc.Response{}))
	var read []string
	assert.NilError(t, s.readBody(&read))
	assert.Equal(t, len(read), len(members))
}
