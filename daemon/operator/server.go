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

// MaximumBodySize bounds the body of an operator's request in bytes.
const MaximumBodySize = 16 << 20

// Server answers the operator listener; its fields are set before use.
type Server struct{ Core *core.Core }

// Handler returns the routes of the operator listener.
//
// Health and readiness are open; all else needs the operators' token, and
// announcements the token of the backend servers.
func (s *Server) Handler() http.Handler {
	r := httprouter.New()
	r.GET("/healthz", s.health)
	r.GET("/readyz", s.ready)
	r.GET("/metrics", s.guarded(s.metrics))
	r.GET("/v1/status", s.guarded(s.status))
	r.GET("/v1/declarations", s.guarded(s.declarations))
	r.GET("/v1/history", s.guarded(s.history))
	r.GET("/v1/convergence", s.guarded(s.convergence))
	r.GET("/v1/timeline", s.guarded(s.timeline))
	r.POST("/v1/submissions", s.guarded(s.submit))
	r.POST("/v1/rollback", s.guarded(s.rollback))
	r.POST("/v1/drain", s.guarded(s.drain))
	r.GET("/v1/quarantine", s.guarded(s.quarantine))
	r.POST("/v1/quarantine/release", s.guarded(s.release))
	r.POST("/v1/announcements", s.announced(s.announce))
	r.DELETE("/v1/announcements/:name", s.announced(s.withdraw))
	return r
}

func (s *Server) guarded(next httprouter.Handle) httprouter.Handle {
	return requireToken(s.Core.Settings.Operators.Token, next)
}

func (s *Server) announced(next httprouter.Handle) httprouter.Handle {
	return requireToken(s.Core.Settings.Operators.BackendToken, next)
}

func requireToken(token string, next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		given := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(given), []byte(token)) != 1 {
			refuse(w, http.StatusUnauthorized, "token is missing or wrong")
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, MaximumBodySize)
		next(w, r, p)
	}
}

func refuse(w http.ResponseWriter, status int, reason string) {
	answer(w, status, operatorapi.Problem{Reason: reason})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func read(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		refuse(w, http.StatusBadRequest, "request body: "+err.Error())
		return false
	}
	return true
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	answer(w, http.StatusOK, struct{}{})
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	switch {
	case s.Core.IsDraining.Load():
		refuse(w, http.StatusServiceUnavailable, "draining")
	case !s.Core.Node.IsServing():
		refuse(w, http.StatusServiceUnavailable, "no confirmed configuration in force")
	default:
		answer(w, http.StatusOK, struct{}{})
	}
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	registry := s.Core.Registry
	metrics.GetOrRegisterGauge("control.bytes.sent", registry).Update(s.Core.Traffic.Sent())
	metrics.GetOrRegisterGauge("control.bytes.received", registry).Update(s.Core.Traffic.Received())
	metrics.GetOrRegisterGauge("configuration.version", registry).Update(int64(s.Core.Configuration.Version()))
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(registry, w)
}
