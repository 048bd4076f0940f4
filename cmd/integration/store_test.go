package integration_test

import (
	"bytes"
	"encoding/json"
	"net/http"

	"gotest.tools/v3/assert"

	"siskinspar.example/standin/platform"
)

// setFault replaces the fault that the platform stand-in simulates.
func (m *mesh) setFault(f platform.Fault) {
	m.t.Helper()
	body, err := json.Marshal(f)
	assert.NilError(m.t, err)
	response, err := m.httpClient.Post("http://"+m.platformAddress+"/standin/fault", "application/json", bytes.NewReader(body))
	assert.NilError(m.t, err)
	_ = response.Body.Close()
}

// copyStore has the platform stand-in take a copy of the store, which restoreStore brings back.
func (m *mesh) copyStore() { m.callStandIn("copy") }

// restoreStore brings the store back as it was when it was copied.
func (m *mesh) restoreStore() { m.callStandIn("restore") }

func (m *mesh) callStandIn(name string) {
	m.t.Helper()
	response, err := m.httpClient.Post("http://"+m.platformAddress+"/standin/"+name, "", nil)
	assert.NilError(m.t, err)
	_ = response.Body.Close()
	assert.Equal(m.t, response.StatusCode, http.StatusNoContent)
}
