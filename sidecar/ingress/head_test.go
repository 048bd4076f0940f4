package ingress_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A client that is told of the close does not use the connection again, and may wait for its end.
func TestAnAnswerToHeadTellsOfTheCloseOnlyIfTheConnectionCloses(t *testing.T) {
	_, _, address := start(t)
	conn, r := dial(t, address)
	_, err := io.WriteString(conn, "HEAD / HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	response, err := http.ReadResponse(r, &http.Request{Method: http.MethodHead})
	assert.NilError(t, err)
	if response.Close {
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(time.Second)))
		_, err = bufio.NewReader(conn).ReadByte()
		assert.Equal(t, err, io.EOF, "told of the close, the connection stays open")
	}
}
