package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/samber/oops"

	"github.com/bilberrywell/bilberrywell/internal/httputil"
	"github.com/bilberrywell/bilberrywell/internal/settings"
)

// peerTLSConfig returns the TLS configuration of peer links, or nil when no certificates are set.
// Both sides have to present a certificate of the fleet's certificate authority.
func peerTLSConfig(s settings.Settings) (*tls.Config, error) {
	if s.PeerTLSCertFile == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(s.PeerTLSCertFile, s.PeerTLSKeyFile)
	if err != nil {
		return nil, oops.In("daemon").Wrapf(err, "load the peer certificate")
	}
	pem, err := os.ReadFile(s.PeerTLSCAFile)
	if err != nil {
		return nil, oops.In("daemon").Wrapf(err, "read the peers' certificate authority")
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(pem) {
		return nil, oops.In("daemon").Errorf("%s contains no certificate", s.PeerTLSCAFile)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      authority,
		ClientCAs:    authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

// enablePeerTLS wraps the peer listener in TLS when certificates are set.
func (d *Daemon) enablePeerTLS(s *httputil.Server) error {
	config, err := peerTLSConfig(d.settings)
	if err != nil || config == nil {
		return err
	}
	// WebSocket needs HTTP/1.1.
	config.NextProtos = []string{"http/1.1"}
	s.Listener = tls.NewListener(s.Listener, config)
	return nil
}
