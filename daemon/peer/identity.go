package peer

import (
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"

	"github.com/rotisserie/eris"

	"siskinspar.example/daemon/settings"
)

// HeaderKey carries the shared key between daemons.
const HeaderKey = "Siskinspar-Peer-Key"

// Identity proves a daemon to its peers: by a shared key, by certificates, or by both.
type Identity struct {
	key    string
	server *tls.Config
	client *tls.Config
}

// NewIdentity reads the key and the certificate files that the settings name.
func NewIdentity(p settings.Peers) (*Identity, error) {
	i := &Identity{key: p.Key}
	if !p.IsTLS() {
		return i, nil
	}
	certificate, err := tls.LoadX509KeyPair(p.Certificate, p.PrivateKey)
	if err != nil {
		return nil, eris.Wrap(err, "load peer certificate")
	}
	authority, err := os.ReadFile(p.Authority)
	if err != nil {
		return nil, eris.Wrap(err, "read peer authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, eris.Errorf("no certificate in %s", p.Authority)
	}
	i.server = &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate}, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert}
	i.client = &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate}, RootCAs: pool}
	return i, nil
}

// ServerTLS returns the TLS configuration of the listener, or nil for plain TCP.
func (i *Identity) ServerTLS() *tls.Config { return i.server }

// ClientTLS returns the TLS configuration for dialing, or nil for plain TCP.
func (i *Identity) ClientTLS() *tls.Config { return i.client }

// Scheme returns the URL scheme of the peer listener.
func (i *Identity) Scheme() string {
	if i.client != nil {
		return "https"
	}
	return "http"
}

// Sign adds the shared key to a request.
func (i *Identity) Sign(h http.Header) {
	if i.key != "" {
		h.Set(HeaderKey, i.key)
	}
}

// IsAllowed compares the shared key of a request in constant time.
func (i *Identity) IsAllowed(h http.Header) bool {
	return subtle.ConstantTimeCompare([]byte(h.Get(HeaderKey)), []byte(i.key)) == 1
}
