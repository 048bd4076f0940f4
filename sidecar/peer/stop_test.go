package peer_test

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"net/rpc"
	"runtime"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/peer"
)

// replyTimeout is how long a test waits for a reply.
const replyTimeout = 10 * time.Second

// encodeCall returns the bytes of a call to a method of the service, with its sequence number and argument.
func encodeCall(t *testing.T, method string, sequence uint64, argument any) []byte {
	t.Helper()
	var content bytes.Buffer
	e := msgpack.NewEncoder(&content)
	assert.NilError(t, e.Encode(rpc.Request{ServiceMethod: peer.ServiceName + "." + method, Seq: sequence}))
	assert.NilError(t, e.Encode(argument))
	return append(binary.BigEndian.AppendUint32(nil, uint32(content.Len())), content.Bytes()...)
}

// readReply reads a reply, and returns the sequence number of its call as well.
func readReply(t *testing.T, c net.Conn) (sequence uint64, reply string) {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(replyTimeout)))
	var size [4]byte
	_, err := io.ReadFull(c, size[:])
	assert.NilError(t, err)
	content := make([]byte, binary.BigEndian.Uint32(size[:]))
	_, err = io.ReadFull(c, content)
	assert.NilError(t, err)
	d := msgpack.NewDecoder(bytes.NewReader(content))
	var header rpc.Response
	assert.NilError(t, d.Decode(&header))
	assert.Equal(t, header.Error, "")
	assert.NilError(t, d.Decode(&reply))
	return header.Seq, reply
}

// expectReply reads a reply, which must be the given one to the call with a sequence number.
func expectReply(t *testing.T, c net.Conn, sequence uint64, reply string) {
	t.Helper()
	answered, text := readReply(t, c)
	assert.Equal(t, answered, sequence)
	assert.Equal(t, text, reply)
}

// dialServer opens a connection to a server, on which one call has had its reply.
func dialServer(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = c.Write(encodeCall(t, "Echo", 1, "first"))
	assert.NilError(t, err)
	expectReply(t, c, 1, "first")
	return c
}

// A daemon with little processor time may stop before it has read the calls of others; without a reply these don't know
// whether the call has run.
func TestCallsThatLieUnreadInTheSocketsAtTheStopAreAnswered(t *testing.T) {
	s, address := startServer(t, echoService{}, nil)
	conns := make([]net.Conn, 60)
	for i := range conns {
		conns[i] = dialServer(t, address)
	}
	call := append(encodeCall(t, "Echo", 2, "unread"), encodeCall(t, "Echo", 3, "behind it")...)
	// With one processor the server does not run between the writes and the stop.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for _, c := range conns {
		_, err := c.Write(call)
		assert.NilError(t, err)
	}
	s.Stop(replyTimeout)
	for _, c := range conns {
		replies := map[uint64]string{}
		for range 2 {
			sequence, reply := readReply(t, c)
			replies[sequence] = reply
		}
		assert.DeepEqual(t, replies, map[uint64]string{2: "unread", 3: "behind it"})
		_, err := c.Read(make([]byte, 1))
		assert.Equal(t, err, io.EOF)
	}
}

// A call whose first bytes have arrived at the stop counts as sent at its caller.
func TestACallOfWhichAPartHasArrivedAtTheStopIsAnswered(t *testing.T) {
	s, address := startServer(t, echoService{}, nil)
	c := dialServer(t, address)
	call := encodeCall(t, "Echo", 2, "in two parts")
	_, err := c.Write(call[:6])
	assert.NilError(t, err)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.Stop(replyTimeout)
	}()
	<-s.Done()
	time.Sleep(50 * time.Millisecond)
	_, err = c.Write(call[6:])
	assert.NilError(t, err)
	expectReply(t, c, 2, "in two parts")
	<-stopped
}

// Calls of a daemon that has not learned of the stop may come while an earlier one still runs.
func TestACallThatArrivesWhileAnotherIsOpenAtTheStopIsAnswered(t *testing.T) {
	v := &waitingEcho{slowService: slowService{started: make(chan struct{}), release: make(chan struct{})}}
	s, address := startServer(t, v, nil)
	c := dialServer(t, address)
	_, err := c.Write(encodeCall(t, "Wait", 2, 1))
	assert.NilError(t, err)
	<-v.started
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.Stop(replyTimeout)
	}()
	<-s.Done()
	time.Sleep(50 * time.Millisecond)
	_, err = c.Write(encodeCall(t, "Echo", 3, "late"))
	assert.NilError(t, err)
	expectReply(t, c, 3, "late")
	close(v.release)
	expectReply(t, c, 2, "whole")
	<-stopped
}

// A daemon that calls without end must not keep another one from its end.
func TestStopEndsAtItsLimitBesideADaemonThatCallsWithoutEnd(t *testing.T) {
	s, address := startServer(t, echoService{}, nil)
	c := dialServer(t, address)
	go func() { _, _ = io.Copy(io.Discard, c) }()
	go func() {
		call := bytes.Repeat(encodeCall(t, "Echo", 2, "again"), 100)
		for {
			if _, err := c.Write(call); err != nil {
				return
			}
		}
	}()
	const limit = 200 * time.Millisecond
	began := time.Now()
	s.Stop(limit)
	assert.Assert(t, time.Since(began) < limit+2*time.Second, "the stop took %v", time.Since(began))
}

// waitingEcho has the methods of both services.
type waitingEcho struct {
	slowService
	echoService
}
