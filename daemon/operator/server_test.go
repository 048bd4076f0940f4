package operator

import (
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"siskinspar.example/daemon/core"
	"siskinspar.example/daemon/settings"
)

// repeated is a body that repeats a byte without end.
type repeated byte

// Read implements io.Reader.
func (r repeated) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(r)
	}
	return len(p), nil
}

// It guards against a daemon that keeps the announcement of a backend server in trouble, which sends without end.
func TestAnAnnouncementWithoutEndIsRefused(t *testing.T) {
	s := &Server{Core: &core.Core{Settings: &settings.Settings{Operators: settings.Operators{BackendToken: "backend-token"}}}}
	h := httptest.NewServer(s.Handler())
	t.Cleanup(h.Close)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	r, err := http.NewRequest(http.MethodPost, h.URL+"/v1/announcements", io.MultiReader(strings.NewReader(`{"name":"`), repeated('x')))
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer backend-token")
	response, err := http.DefaultClient.Do(r)
	runtime.ReadMemStats(&after)
	if err == nil {
		assert.Equal(t, response.StatusCode, http.StatusBadRequest)
		assert.NilError(t, response.Body.Close())
	}
	allocated := after.TotalAlloc - before.TotalAlloc
	assert.Assert(t, allocated < 4<<20, "%d kB were allocated", allocated>>10)
}
