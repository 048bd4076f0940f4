package ingress_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRequestsWithoutAnAnswerAtTheEndOfTheDrainAreAnsweredInOrder(t *testing.T) {
	s, h, address := start(t)
	c, r := dial(t, address)
	_, err := io.WriteString(c, get("/wait/1")+get("/2")+get("/wait/3"))
	assert.NilError(t, err)
	for range 3 {
		<-h.started
	}
	go s.Stop(50 * time.Millisecond)
	for _, status := range []int{http.StatusBadGateway, http.StatusOK, http.StatusBadGateway} {
		response, _ := read(t, r)
		assert.Equal(t, response.StatusCode, status)
	}
	_, err = r.ReadByte()
	assert.Equal(t, err, io.EOF)
}
