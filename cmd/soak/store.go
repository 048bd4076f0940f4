package soak

import (
	"fmt"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"siskinspar.example/standin/platform"
)

// storeAddress is where the stand-in for the store listens.
const storeAddress = "127.0.99.200:7818"

// configuration is an operator's configuration; only the timeouts differ from one version to the next.
const configuration = `{"version":"%08x","services":[{"name":"desk","healthCheckPath":"/healthz","maxConnections":60}],` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":15},` +
	`"virtualHosts":[{"hostname":"soak.example","paths":[` +
	`{"name":"read","prefix":"/read/","kind":"safe","timeoutS":%[2]g,"targetLatencyS":0.5,"priority":2,"service":"desk","attempts":2},` +
	`{"name":"write","prefix":"/write/","kind":"unsafe","timeoutS":%[2]g,"targetLatencyS":0.5,"priority":1,"service":"desk","attempts":2}]}]}`

func (s *Soak) startStore() error {
	s.store = &platform.Server{}
	l, err := net.Listen("tcp", storeAddress)
	if err != nil {
		return eris.Wrap(err, "listen for the store")
	}
	s.storeHTTP = &http.Server{Handler: s.store}
	go func() {
		// The error says only that the store was closed.
		_ = s.storeHTTP.Serve(l)
	}()
	return nil
}

// configure puts the next version into the store.
func (s *Soak) configure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.store.PutAsOperator("op", "config", fmt.Appendf(nil, configuration, s.version, 1+0.1*float64(s.version%5)))
}
