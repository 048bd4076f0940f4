package operator

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/julienschmidt/httprouter"
	"github.com/rcrowley/go-metrics"

	"siskinspar.example/daemon/core"
	"siskinspar.example/daemon/operatorapi"
)

const (
	// maximumBodySize bounds the body of an operator's request in bytes.
	maximumBodySize = 16 << 20
	// maximumAnnouncementSize bounds the body of a backend server's request in bytes.
	maximumAnnouncementSize = 64 << 10
)

// Server serves the requests of the operator listener; Core is set before use.
type Server struct{ Core *core.Core }

// Handler returns the HTTP handler of the operator listener.
//
// Health and readiness need no token, announcements need the token of the backend servers, and all other paths need
// the operators' token.
func (s *Server) Handler() http.Handler {
	r := httprouter.New()
	r.GET("/healthz", s.health)
	r.GET("/readyz", s.ready)
	r.GET("/metrics", s.requireOperatorToken(s.metrics))
	r.GET("/v1/status", s.requireOperatorToken(s.status))
	r.GET("/v1/declarations", s.requireOperatorToken(s.declarations))
	r.GET("/v1/history", s.requireOperatorToken(s.history))
	r.GET("/v1/convergence", s.requireOperatorToken(s.convergence))
	r.GET("/v1/timeline", s.requireOperatorToken(s.timeline))
	r.POST("/v1/submissions", s.requireOperatorToken(s.submit))
	r.POST("/v1/rollback", s.requireOperatorToken(s.rollback))
	r.POST("/v1/drain", s.requireOperatorToken(s.drain))
	r.GET("/v1/quarantine", s.requireOperatorToken(s.quarantine))
	r.POST("/v1/quarantine/release", s.requireOperatorToken(s.release))
	r.POST("/v1/announcements", s.requireBackendToken(s.announce))
	r.DELETE("/v1/announcements/:name", s.requireBackendToken(s.withdraw))
	return r
}

func (s *Server) requireOperatorToken(next httprouter.Handle) httprouter.Handle {
	return requireToken(s.Core.Settings.Operators.Token, maximumBodySize, next)
}

func (s *Server) requireBackendToken(next httprouter.Handle) httprouter.Handle {
	return requireToken(s.Core.Settings.Operators.BackendToken, maximumAnnouncementSize, next)
}

// requireToken answers 401 to requests without the bearer token and bounds the body of the others, in bytes.
func requireToken(token string, size int64, next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		given := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(given), []byte(token)) != 1 {
			writeProblem(w, http.StatusUnauthorized, "token is missing or wrong")
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, size)
		next(w, r, p)
	}
}

// writeProblem answers with an error status and its reason.
func writeProblem(w http.ResponseWriter, status int, reason string) {
	writeJSON(w, status, operatorapi.Problem{Reason: reason})
}

// writeJSON answers with a status and a body in JSON.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// readBody decodes the JSON body of a request; it returns false after it has answered 400 to an invalid one.
func readBody(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		writeProblem(w, http.StatusBadRequest, "request body: "+err.Error())
		return false
	}
	return true
}

// health answers 200 as long as the process serves requests.
func (s *Server) health(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, http.StatusOK, struct{}{})
}

// ready answers 200 only while callers may be sent to this daemon.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	switch {
	case s.Core.IsDraining.Load():
		writeProblem(w, http.StatusServiceUnavailable, "draining")
	case !s.Core.ControlNode.IsServing():
		writeProblem(w, http.StatusServiceUnavailable, "no confirmed configuration in force")
	default:
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

// metrics updates the gauges that are read on demand and writes the metrics registry.
func (s *Server) metrics(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	registry := s.Core.Registry
	metrics.GetOrRegisterGauge("control.bytes.sent", registry).Update(s.Core.Traffic.Sent())
	metrics.GetOrRegisterGauge("control.bytes.received", registry).Update(s.Core.Traffic.Received())
	metrics.GetOrRegisterGauge("configuration.version", registry).Update(int64(s.Core.Configuration.Version()))
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(registry, w)
}
