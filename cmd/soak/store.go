package soak

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"siskinspar.example/standin/loopback"
	"siskinspar.example/standin/platform"
)

// configurationTemplate is the configuration that putConfiguration formats with a version, a timeout in seconds and the
// organisations.
const configurationTemplate = `{"version":"%08x","services":[{"name":"desk","healthCheckPath":"/healthz","maxConnections":60}],` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":15},` +
	`"tenants":%[3]s,"virtualHosts":[{"hostname":"soak.example","paths":[` +
	`{"name":"read","prefix":"/read/","kind":"safe","timeoutS":%[2]g,"targetLatencyS":0.5,"priority":2,"service":"desk","attempts":2,"public":true},` +
	`{"name":"write","prefix":"/write/","kind":"unsafe","timeoutS":%[2]g,"targetLatencyS":0.5,"priority":1,"service":"desk","attempts":2,"public":true},` +
	`{"name":"private read","prefix":"/private/read/","kind":"safe","timeoutS":%[2]g,"targetLatencyS":0.5,"priority":2,"service":"desk","attempts":2},` +
	`{"name":"private write","prefix":"/private/write/","kind":"unsafe","timeoutS":%[2]g,"targetLatencyS":0.5,"priority":1,"service":"desk","attempts":2}]}]}`

// startStore starts the stand-in for the store.
func (s *Soak) startStore() error {
	s.store = &platform.Server{}
	s.storeAddress = loopback.Address()
	l, err := net.Listen("tcp", s.storeAddress)
	if err != nil {
		return eris.Wrap(err, "listen for the store stand-in")
	}
	s.storeHTTP = &http.Server{Handler: s.store, ConnContext: s.store.ConnContext}
	go func() {
		// Serve returns only because stop closes the server.
		_ = s.storeHTTP.Serve(l)
	}()
	return nil
}

// putConfiguration writes the next version of the configuration to the store.
func (s *Soak) putConfiguration() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.checker.recordKeys(append(memberKeys(s.version), permanentKey(usualOrganisation), permanentKey(floodOrganisation)), time.Now())
	s.writeConfiguration()
}

// writeConfiguration writes the latest version of the configuration to the store; the caller holds the lock. Only its
// version, its timeouts, from 1 s to 1.4 s, and the keys of memberOrganisation differ from the version before.
func (s *Soak) writeConfiguration() {
	s.store.PutAsOperator("op", "config", fmt.Appendf(nil, configurationTemplate, s.version, 1+0.1*float64(s.version%5), s.organisationsJSON()))
}

// restoreStore brings the store back from a copy, and writes the latest configuration again, as the operator does.
func (s *Soak) restoreStore(c *platform.Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Restore(c)
	s.writeConfiguration()
}

// checkConfiguration records a violation for each daemon that has another configuration in force than the latest one.
func (s *Soak) checkConfiguration() {
	expected := fmt.Sprintf("configuration in force: version %d\n", s.version)
	for _, i := range s.instances {
		if status := i.status(); !strings.Contains(status, expected) {
			s.checker.recordOutdated(i.name, s.version, status)
		}
	}
}
