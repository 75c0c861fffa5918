package daemon_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/internal/fleettest"
	"github.com/bilberrywell/bilberrywell/internal/settings"
	"github.com/bilberrywell/bilberrywell/internal/standin/callersim"
	"github.com/bilberrywell/bilberrywell/internal/standin/enginesim"
)

// Guards against a planned stop that cuts off a stream in flight. StopNode ends the context of
// Run, as SIGTERM does in the daemon. The test fails if Run returns an error.
func TestDrainEndsWithWholeStreams(t *testing.T) {
	f := fleettest.Start(t, fleettest.Options{Instances: 1, Engines: 1, Engine: enginesim.Options{TokensPerSecond: 50}})
	client := f.Client(f.Nodes[0])
	results := make(chan callersim.ChatResult, 1)
	go func() { results <- client.Chat(context.Background(), "long", request("a stream over the drain")) }()
	require.Eventually(t, func() bool { return f.Engines[0].InFlight() == 1 }, fleettest.WaitTimeout, time.Millisecond)
	f.StopNode(f.Nodes[0])
	result := <-results
	require.Equal(t, callersim.Complete, result.Kind, result.Detail)
	_, err := net.Dial("tcp", f.Nodes[0].Settings.CallerAddr)
	require.Error(t, err)
}

// Guards against peer links that ignore the certificates or accept a client without one, and
// against a fleet that forms no links over TLS.
func TestPeersOverTLS(t *testing.T) {
	dir := t.TempDir()
	writeCertificate(t, dir)
	f := fleettest.Start(t, fleettest.Options{Instances: 2, Engines: 2, AdjustSettings: func(s *settings.Settings) {
		s.PeerTLSCertFile, s.PeerTLSKeyFile = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
		s.PeerTLSCAFile = s.PeerTLSCertFile
	}})
	for _, node := range f.Nodes {
		// If two of the chats have engines with different homes, at least one of them crosses the
		// link between the instances.
		for _, id := range []string{"a", "b", "c", "d"} {
			result := f.Client(node).Chat(context.Background(), id, request(id))
			require.Equal(t, callersim.Complete, result.Kind, result.Detail)
		}
	}
	addr := f.Nodes[0].Settings.PeerAddr
	_, err := http.Get("http://" + addr + "/")
	if err == nil {
		conn, dialErr := tls.Dial("tcp", addr, &tls.Config{InsecureSkipVerify: true})
		require.NoError(t, dialErr)
		_, err = conn.Read(make([]byte, 1))
	}
	require.Error(t, err)
}

// writeCertificate writes a self-signed certificate for 127.0.0.1 and its key.
func writeCertificate(t *testing.T, dir string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	for name, block := range map[string]*pem.Block{
		"cert.pem": {Type: "CERTIFICATE", Bytes: der}, "key.pem": {Type: "PRIVATE KEY", Bytes: keyDER},
	} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(block), 0o600))
	}
}
