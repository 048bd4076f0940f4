package sidecar

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// isReady reports whether the daemon has a configuration and is not stopping, so that clients may send it requests.
func (s *Sidecar) isReady() bool { return !s.isStopping.Load() && s.configuration.Table() != nil }

// newReadiness returns the handler of readiness checks. The body of its answer says which configuration is in force and
// why the latest one was refused.
func (s *Sidecar) newReadiness() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !s.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		// The error is ignored: whoever closed the connection needs no answer.
		_, _ = io.WriteString(w, s.status())
	})
}

// status describes the readiness of the daemon in a few lines.
func (s *Sidecar) status() string {
	var b strings.Builder
	fmt.Fprintf(&b, "stopping: %v\n", s.isStopping.Load())
	if t := s.configuration.Table(); t != nil {
		fmt.Fprintf(&b, "configuration in force: version %d\n", t.Version())
	} else {
		b.WriteString("configuration in force: none\n")
	}
	if err := s.configuration.Refusal(); err != nil {
		fmt.Fprintf(&b, "latest configuration refused: %v\n", err)
	}
	return b.String()
}

func (s *Sidecar) newMetrics() http.Handler {
	version := metrics.NewFunctionalGauge(func() int64 { return int64(s.configuration.Version()) })
	refusals := metrics.NewFunctionalGauge(s.configuration.Refusals)
	era := metrics.NewFunctionalGauge(func() int64 { return int64(s.storeEra.Newest()) })
	age := metrics.NewFunctionalGauge(func() int64 { return s.freshness.Age(time.Now()).Milliseconds() })
	// The registry is new, so the names are free.
	_ = s.registry.Register("configuration.version", version)
	_ = s.registry.Register("configuration.refused", refusals)
	_ = s.registry.Register("configuration.age", age)
	_ = s.registry.Register("store.era", era)
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { metrics.WriteOnce(s.registry, w) })
}
