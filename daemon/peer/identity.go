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

// HeaderPeerKey is the HTTP header that carries the shared key between daemons.
const HeaderPeerKey = "Siskinspar-Peer-Key"

// Identity authenticates a daemon to its peers by a shared key, by a TLS certificate, or by both.
type Identity struct {
	key          string
	serverConfig *tls.Config
	clientConfig *tls.Config
}

// NewIdentity takes the shared key from the settings and loads the certificate files that they name.
//
// It returns an error when a file can't be read, or holds no valid certificate or private key.
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
		return nil, eris.Errorf("no certificate in peer authority file %s", p.Authority)
	}
	i.serverConfig = &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate}, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert}
	i.clientConfig = &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate}, RootCAs: pool}
	return i, nil
}

// ServerTLS returns the TLS configuration of the peer listener, which requires client certificates, or nil for
// plain TCP.
func (i *Identity) ServerTLS() *tls.Config { return i.serverConfig }

// ClientTLS returns the TLS configuration for connections to peers, or nil for plain TCP.
func (i *Identity) ClientTLS() *tls.Config { return i.clientConfig }

// Scheme returns the URL scheme of the peer listeners, "https" with certificates and "http" without.
func (i *Identity) Scheme() string {
	if i.clientConfig != nil {
		return "https"
	}
	return "http"
}

// Sign adds the shared key, if there is one, to the headers of a request.
func (i *Identity) Sign(h http.Header) {
	if i.key != "" {
		h.Set(HeaderPeerKey, i.key)
	}
}

// IsAllowed reports whether the headers of a request carry the shared key; the comparison takes constant time.
//
// Without a configured key, only requests without a key pass, and TLS has verified their certificates.
func (i *Identity) IsAllowed(h http.Header) bool {
	return subtle.ConstantTimeCompare([]byte(h.Get(HeaderPeerKey)), []byte(i.key)) == 1
}
