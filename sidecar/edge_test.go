package sidecar_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// A request without any header fields is whole, and must not harm the daemon to which it is forwarded.
func TestARequestWithoutHeadersIsServed(t *testing.T) {
	d := newDeployment(t)
	d.configure(1, "hub")
	desk := d.add("desk")
	d.add("hub")
	d.await(desk, "server-1")
	c, err := net.Dial("tcp", desk.settings.Clients)
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET /r/bare HTTP/1.1\r\nHost: a.example\r\n\r\n")
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// A daemon without a configuration refuses all requests; its status says why it has none.
func TestTheStatusNamesWhatIsWrongInARefusedConfiguration(t *testing.T) {
	d := newDeployment(t)
	d.store.PutAsOperator("op", "config", []byte(strings.Replace(fmt.Sprintf(document, 7, "desk"), `"kind":"safe"`, `"kind":"sturdy"`, 1)))
	i := d.add("desk")
	status := ""
	for deadline := time.Now().Add(20 * time.Second); !strings.Contains(status, "refused") && time.Now().Before(deadline); {
		if response, err := http.Get("http://" + i.settings.Readiness + "/readyz"); err == nil {
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
			status = string(body)
		}
	}
	for _, part := range []string{"configuration in force: none", "version 7", `route "r"`, `kind "sturdy"`} {
		assert.Assert(t, cmp.Contains(status, part))
	}
	code, _ := d.get(i)
	assert.Equal(t, code, http.StatusServiceUnavailable)
}
