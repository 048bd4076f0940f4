package mesh_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinspar.example/daemon/operatorapi"
	"siskinspar.example/daemon/settings"
	"siskinspar.example/declaration"
	"siskinspar.example/standin/mesh"
	"siskinspar.example/versionlog"
)

// authority is a certificate authority that issues certificates for daemons.
type authority struct {
	t           *testing.T
	directory   string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, directory: t.TempDir()}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	a.key = key
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	a.certificate, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	a.write("authority.pem", "CERTIFICATE", der)
	return a
}

// write writes a PEM file and returns its path.
func (a *authority) write(name, kind string, der []byte) string {
	path := filepath.Join(a.directory, name)
	assert.NilError(a.t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// issue writes a certificate for an address and its private key, and returns the paths of both files.
func (a *authority) issue(address string) (string, string) {
	listen, err := netip.ParseAddrPort(address)
	assert.NilError(a.t, err)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(a.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "daemon"}, IPAddresses: []net.IP{listen.Addr().AsSlice()},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	assert.NilError(a.t, err)
	encoded, err := x509.MarshalECPrivateKey(key)
	assert.NilError(a.t, err)
	return a.write("daemon.pem", "CERTIFICATE", der), a.write("daemon.key", "EC PRIVATE KEY", encoded)
}

// configure makes a daemon authenticate its peers by certificate instead of the shared key.
func (a *authority) configure(p *settings.Peers) {
	p.Key = ""
	p.Certificate, p.PrivateKey = a.issue(p.Listen)
	p.Authority = filepath.Join(a.directory, "authority.pem")
}

func TestDaemonsAuthenticateEachOtherByCertificate(t *testing.T) {
	a := newAuthority(t)
	m := &mesh.Mesh{Adjust: func(s *settings.Settings) { a.configure(&s.Peers) }}
	t.Cleanup(m.Stop)
	assert.NilError(t, m.StartPlatform())
	for _, name := range []string{"one", "two"} {
		_, err := m.AddDaemon(name, name, nil)
		assert.NilError(t, err)
	}
	awaitMembership(t, m)
	server := startEcho(t, m.Nodes()[1])
	declareEcho(t, m)
	answer := sendWithTrailer(t, m.Nodes()[0])
	assert.Equal(t, answer.body, "body")
	address := m.Nodes()[1].PeerAddress()
	for _, c := range []struct {
		name   string
		scheme string
		config *tls.Config
	}{
		{"plain text", "http", nil},
		{"no certificate", "https", &tls.Config{InsecureSkipVerify: true}},
		{"a certificate of another authority", "https", untrustedConfig(t)},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := &http.Client{Transport: &http.Transport{TLSClientConfig: c.config}}
			response, err := client.Get(c.scheme + "://" + address + "/peer/rpc")
			if err == nil {
				_ = response.Body.Close()
				assert.Assert(t, response.StatusCode >= 400, "an unauthenticated client got status %d", response.StatusCode)
			}
		})
	}
	server.Close()
}

// untrustedConfig returns a TLS configuration with a certificate of an authority that the daemons do not trust.
func untrustedConfig(t *testing.T) *tls.Config {
	t.Helper()
	certificate, key := newAuthority(t).issue("127.0.0.1:1")
	pair, err := tls.LoadX509KeyPair(certificate, key)
	assert.NilError(t, err)
	return &tls.Config{InsecureSkipVerify: true, Certificates: []tls.Certificate{pair}}
}

// startEcho starts a backend server that returns the body and the trailer of each request, and announces it to the
// daemon.
func startEcho(t *testing.T, n *mesh.Node) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Trailer", "X-Sum")
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		_, _ = w.Write(body)
		w.Header().Set("X-Sum", "answer to "+r.Trailer.Get("X-Sum"))
	}))
	t.Cleanup(server.Close)
	client := n.OperatorClient()
	client.Token = mesh.BackendToken
	assert.NilError(t, client.Announce(t.Context(), operatorapi.Announcement{
		Name: "echo", Address: strings.TrimPrefix(server.URL, "http://"), Labels: declaration.Labels{"service": "echo"}, Slots: 4, TimeToLive: 60,
	}))
	return server
}

// declareEcho declares a service and an intent that route all paths to the echo server.
func declareEcho(t *testing.T, m *mesh.Mesh) {
	t.Helper()
	entries, faults := declaration.Read("echo", []byte("kind: service\nname: echo\nbackendServers: {service: echo}\n---\nkind: intent\nname: echo\ntarget: echo\nmatch: {pathPrefix: /}\n"))
	assert.Equal(t, len(faults), 0)
	s := versionlog.Submission{RequestID: "echo", Operator: "test"}
	for _, e := range entries {
		s.Proposals = append(s.Proposals, versionlog.Proposal{Edit: declaration.Edit{Key: e.Key(), Content: e.Content()}})
	}
	r := m.Nodes()[0].Daemon().Core().ControlNode.Submit(t.Context(), s)
	assert.NilError(t, r.Err())
	awaitVersion(t, r.Version(), m.Nodes()...)
}

// echoAnswer is the body and the trailer of an answer of the echo server.
type echoAnswer struct{ body, trailer string }

// sendWithTrailer sends a streamed body with a trailer, and repeats this until the daemon knows the backend server and
// the answer is a success.
func sendWithTrailer(t *testing.T, n *mesh.Node) echoAnswer {
	t.Helper()
	for range 600 {
		r, err := http.NewRequest(http.MethodPost, "http://"+n.CallerAddress()+"/", io.MultiReader(strings.NewReader("bo"), strings.NewReader("dy")))
		assert.NilError(t, err)
		r.Trailer = http.Header{"X-Sum": {"checksum"}}
		response, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return echoAnswer{body: string(body), trailer: response.Trailer.Get("X-Sum")}
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatal("no answer with status 200 after 600 attempts")
	return echoAnswer{}
}

func TestTrailersPassBothWays(t *testing.T) {
	m := startMesh(t, 1, "a", "b")
	startEcho(t, m.Nodes()[1])
	declareEcho(t, m)
	assert.Equal(t, sendWithTrailer(t, m.Nodes()[0]).trailer, "answer to checksum")
}
