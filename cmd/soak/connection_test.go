package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/standin/application"
)

// respond answers the requests of a connection with one answer of a script each, and then ends the connection. The script
// gets the body that belongs to the request.
func respond(c net.Conn, script []func(body string) string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for _, answer := range script {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		// Without the rest of the request, the client gets a reset in place of the answer.
		_, _ = io.Copy(io.Discard, r.Body)
		if _, err := io.WriteString(c, answer(application.Answer(r.Header.Get("Request-Id"), r.RequestURI))); err != nil {
			return
		}
	}
	// The client sends nothing more until it has seen the end.
	time.Sleep(20 * time.Millisecond)
}

// It guards against a request without a whole answer that the check does not get, and one behind another that it takes for
// the first.
func TestConnectionClientRecordsEachRequestWithoutAWholeAnswer(t *testing.T) {
	answer := func(header string, missing int) func(body string) string {
		return func(body string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body)+missing, body)
		}
	}
	whole, last, truncated := answer("", 0), answer("Connection: close\r\n", 0), answer("", 5)
	for _, c := range []struct {
		name     string
		use      connectionUse
		script   []func(body string) string
		answered int
		isOpen   bool
	}{
		{"answered", connectionUse{}, []func(string) string{whole}, 1, true},
		{"closed", connectionUse{}, nil, 0, false},
		{"truncated", connectionUse{}, []func(string) string{truncated}, 0, false},
		{"last answer", connectionUse{}, []func(string) string{last}, 1, false},
		{"closed behind the first", connectionUse{isPipelined: true}, []func(string) string{whole}, 1, false},
		{"last answer before others", connectionUse{isPipelined: true}, []func(string) string{last}, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			near, far := net.Pipe()
			go respond(far, c.script)
			k := NewChecker()
			client := newConnectionClient(&instance{name: "i0", service: "desk", host: "127.0.0.1"}, k, c.use, rand.New(rand.NewPCG(1, 1)))
			assert.Equal(t, client.exchange(near, bufio.NewReader(near)), c.isOpen)
			assert.Equal(t, len(k.losses), client.number-c.answered, "%+v", k.losses)
			for _, l := range k.losses {
				assert.Equal(t, l.isBehind, c.answered > 0)
			}
			assert.Equal(t, len(k.Violations()), 0, "%v", k.Violations())
		})
	}
}
