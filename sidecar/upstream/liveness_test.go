package upstream_test

import (
	"net"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/upstream"
)

// A process with little processor time may find the time of the check over before it has seen that the server has reset
// the connection; the request that crashed the server would then be sent to others without end.
func TestAResetThatIsNotNoticedInTimeShowsThatTheServerExits(t *testing.T) {
	// checkDuration is that of package upstream.
	const checkDuration = 100 * time.Millisecond
	const attempts = 10
	// With one processor the check does not run between the reset and the end of its time.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	checked := 0
	for range attempts {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		began := time.Now()
		result := make(chan bool, 1)
		go func() { result <- upstream.IsNotListening(l.Addr().String()) }()
		c, err := l.Accept()
		assert.NilError(t, err)
		time.Sleep(time.Until(began.Add(checkDuration - 4*time.Millisecond)))
		assert.NilError(t, c.(*net.TCPConn).SetLinger(0))
		assert.NilError(t, c.Close())
		isInTime := time.Since(began) < checkDuration
		for time.Since(began) < checkDuration+3*time.Millisecond {
			// The processor is not given back, as if the process did not run.
			continue
		}
		isEnded := <-result
		assert.NilError(t, l.Close())
		if !isInTime {
			continue
		}
		checked++
		assert.Assert(t, isEnded)
	}
	assert.Assert(t, checked > 0, "no connection was reset in time in %d attempts", attempts)
}
