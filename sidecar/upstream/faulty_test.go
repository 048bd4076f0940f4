package upstream_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"siskinspar.example/sidecar/upstream"
)

func refusal(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: full\r\nContent-Length: 0\r\n\r\n", id)
}

func TestAnEarlierRefusalThatIsWrittenOnceMoreIsNotTakenForAnAnswer(t *testing.T) {
	for _, c := range []struct {
		name, second string
		answer       string
		status       int
	}{
		{"before the answer to the next request", "two", refusal("one") + ok("two", "body"), http.StatusOK},
		{"twice before the answer to the next request", "two", refusal("one") + refusal("one") + ok("two", "body"), http.StatusOK},
		{"in place of the answer to the next request", "two", refusal("one") + "cut", 0},
		{"before the answer to the same request", "one", refusal("one") + ok("one", "body"), http.StatusOK},
		{"in place of the answer to the same request", "one", refusal("one") + "cut", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, _ := serve(t, func(connection int) []string {
				if connection == 1 {
					return []string{refusal("{id}"), c.answer}
				}
				// On another connection the server has no earlier refusal to write.
				return []string{strings.ReplaceAll(c.answer, refusal("one"), "")}
			})
			client := &upstream.Client{Address: address, IDHeader: "Request-Id"}
			assert.Equal(t, send(client, "one").Answer.Status, http.StatusServiceUnavailable)
			assert.Equal(t, send(client, c.second).Answer.Status, c.status)
		})
	}
}
