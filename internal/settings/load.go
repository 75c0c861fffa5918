package settings

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"gopkg.in/yaml.v3"

	"github.com/bilberrywell/bilberrywell/config"
	"github.com/bilberrywell/bilberrywell/internal/settingsfile"
	"github.com/bilberrywell/bilberrywell/internal/yamlfile"
)

// minSecretBytes is the length of the shortest accepted secret. 32 hex digits hold 128 bits, which
// keeps the secret from being guessed.
const minSecretBytes = 32

// Load reads and checks a settings file. Relative file names in it are resolved
// against its directory.
func Load(path string) (Settings, config.Findings) {
	l := &loader{File: settingsfile.New(path), dir: filepath.Dir(path), settings: Defaults(), nodes: map[string]*yaml.Node{}}
	if root := l.Read(); root != nil {
		l.check(root)
	}
	return l.settings, l.Findings()
}

// loader reads one settings file.
type loader struct {
	*settingsfile.File
	dir      string
	settings Settings
	// nodes holds the value of each field that is present.
	nodes map[string]*yaml.Node
}

func (l *loader) reportf(n *yaml.Node, format string, args ...any) {
	l.Report(n, fmt.Sprintf(format, args...))
}

func (l *loader) check(root *yaml.Node) {
	l.Mapping(root, "the settings file", l.fields(), "instance", "data_centre", "region",
		"caller_addr", "peer_addr", "admin_addr", "store_addr", "fleet_secret_file")
	l.fillAdvertised()
	l.checkDistinctAddrs()
	l.readSecret()
	l.checkPeerTLS(root)
	l.checkRelations()
}

// fields returns the functions that read each field into settings and record its node.
func (l *loader) fields() yamlfile.Fields {
	s := &l.settings
	fields := yamlfile.Fields{
		"instance":                        yamlfile.SetString(&l.Reader, "instance", &s.Instance),
		"data_centre":                     yamlfile.SetString(&l.Reader, "data_centre", &s.DataCentre),
		"region":                          yamlfile.SetString(&l.Reader, "region", &s.Region),
		"caller_addr":                     l.SetAddr("caller_addr", &s.CallerAddr),
		"peer_addr":                       l.SetAddr("peer_addr", &s.PeerAddr),
		"admin_addr":                      l.SetAddr("admin_addr", &s.AdminAddr),
		"caller_advertise_addr":           l.SetAddr("caller_advertise_addr", &s.CallerAdvertiseAddr),
		"peer_advertise_addr":             l.SetAddr("peer_advertise_addr", &s.PeerAdvertiseAddr),
		"admin_advertise_addr":            l.SetAddr("admin_advertise_addr", &s.AdminAdvertiseAddr),
		"store_addr":                      l.SetAddr("store_addr", &s.StoreAddr),
		"fleet_secret_file":               l.setPath("fleet_secret_file", &s.FleetSecretFile),
		"peer_tls_cert_file":              l.setPath("peer_tls_cert_file", &s.PeerTLSCertFile),
		"peer_tls_key_file":               l.setPath("peer_tls_key_file", &s.PeerTLSKeyFile),
		"peer_tls_ca_file":                l.setPath("peer_tls_ca_file", &s.PeerTLSCAFile),
		"drain_deadline":                  l.SetDuration("drain_deadline", &s.DrainDeadline, time.Second, time.Hour),
		"balancer_grace":                  l.SetDuration("balancer_grace", &s.BalancerGrace, 0, time.Minute),
		"takeover_window":                 l.SetDuration("takeover_window", &s.TakeoverWindow, 100*time.Millisecond, time.Minute),
		"heartbeat_interval":              l.SetDuration("heartbeat_interval", &s.HeartbeatInterval, 50*time.Millisecond, time.Minute),
		"header_timeout":                  l.SetDuration("header_timeout", &s.HeaderTimeout, 100*time.Millisecond, time.Minute),
		"idle_timeout":                    l.SetDuration("idle_timeout", &s.IdleTimeout, time.Second, time.Hour),
		"rewalk":                          l.SetDuration("rewalk", &s.QueueRetryInterval, 10*time.Millisecond, 10*time.Second),
		"claim_retention":                 l.SetDuration("claim_retention", &s.ClaimRetention, time.Minute, 30*24*time.Hour),
		"claim_batch":                     l.SetDuration("claim_batch", &s.ClaimBatchDelay, 0, time.Second),
		"control_budget_bytes_per_second": l.SetInt("control_budget_bytes_per_second", &s.ControlBytesPerSecond, 1024, 1<<30),
		"request_body_limit_bytes":        l.SetInt("request_body_limit_bytes", &s.MaxRequestBodyBytes, 1024, 1<<30),
		"header_limit_bytes":              l.SetInt("header_limit_bytes", &s.MaxHeaderBytes, 1024, 16<<20),
		"timeline_events":                 l.SetInt("timeline_events", &s.TimelineCapacity, 16, 1<<20),
		"takeover_share":                  l.SetNumber("takeover_share", &s.TakeoverShare, 0.01, 1),
	}
	for name, read := range fields {
		fields[name] = func(n *yaml.Node) {
			l.nodes[name] = n
			read(n)
		}
	}
	return fields
}

// setPath returns a function that reads a file name into to. It resolves a relative name against the
// directory of the settings file.
func (l *loader) setPath(what string, to *string) func(*yaml.Node) {
	return func(n *yaml.Node) {
		text, ok := l.String(n, what)
		if ok && !filepath.IsAbs(text) {
			text = filepath.Join(l.dir, text)
		}
		*to = text
	}
}

// fillAdvertised sets absent advertised addresses to those of the listeners.
func (l *loader) fillAdvertised() {
	s := &l.settings
	l.fillAdvertisedAddr("caller", s.CallerAddr, &s.CallerAdvertiseAddr)
	l.fillAdvertisedAddr("peer", s.PeerAddr, &s.PeerAdvertiseAddr)
	l.fillAdvertisedAddr("admin", s.AdminAddr, &s.AdminAdvertiseAddr)
}

// fillAdvertisedAddr sets the advertised address of one listener if it is absent. It reports an
// unspecified address such as 0.0.0.0, to which other machines cannot connect.
func (l *loader) fillAdvertisedAddr(name, listener string, advertised *string) {
	node := l.nodes[name+"_advertise_addr"]
	if node == nil {
		node = l.nodes[name+"_addr"]
		*advertised = listener
	}
	if a, err := netip.ParseAddrPort(*advertised); err == nil && a.Addr().IsUnspecified() {
		l.reportf(node, "others cannot connect to %s, set %s_advertise_addr to an address of this machine", *advertised, name)
	}
}

// checkDistinctAddrs reports listeners that have the same address.
func (l *loader) checkDistinctAddrs() {
	s := l.settings
	first := map[string]string{}
	for _, a := range []struct{ name, addr string }{{"caller_addr", s.CallerAddr}, {"peer_addr", s.PeerAddr}, {"admin_addr", s.AdminAddr}} {
		if other, ok := first[a.addr]; ok && a.addr != "" {
			l.reportf(l.nodes[a.name], "%s is the same address as %s", a.name, other)
		}
		first[a.addr] = a.name
	}
}

// readSecret reads the file of the fleet's secret.
func (l *loader) readSecret() {
	n := l.nodes["fleet_secret_file"]
	if n == nil || l.settings.FleetSecretFile == "" {
		return
	}
	data, err := os.ReadFile(l.settings.FleetSecretFile)
	if err != nil {
		l.reportf(n, "fleet_secret_file cannot be read: %v", err)
		return
	}
	secret := bytes.TrimSpace(data)
	if len(secret) < minSecretBytes {
		l.reportf(n, "fleet_secret_file must hold at least %d characters", minSecretBytes)
		return
	}
	l.settings.FleetSecret = Secret(secret)
}

// checkPeerTLS reports TLS files for peers that are incomplete or cannot be used.
func (l *loader) checkPeerTLS(root *yaml.Node) {
	s := l.settings
	present := 0
	for _, name := range []string{"peer_tls_cert_file", "peer_tls_key_file", "peer_tls_ca_file"} {
		if l.nodes[name] != nil {
			present++
		}
	}
	switch {
	case present == 0:
		return
	case present < 3:
		l.reportf(root, "peer_tls_cert_file, peer_tls_key_file and peer_tls_ca_file are set together or not at all")
		return
	}
	if _, err := tls.LoadX509KeyPair(s.PeerTLSCertFile, s.PeerTLSKeyFile); err != nil {
		l.reportf(l.nodes["peer_tls_cert_file"], "the peer certificate and key cannot be used: %v", err)
	}
	ca, err := os.ReadFile(s.PeerTLSCAFile)
	if err != nil {
		l.reportf(l.nodes["peer_tls_ca_file"], "peer_tls_ca_file cannot be read: %v", err)
	} else if !x509.NewCertPool().AppendCertsFromPEM(ca) {
		l.reportf(l.nodes["peer_tls_ca_file"], "peer_tls_ca_file holds no certificate")
	}
}

// checkRelations reports values that are valid alone but not in combination.
func (l *loader) checkRelations() {
	s := l.settings
	if s.BalancerGrace >= s.DrainDeadline {
		l.reportf(l.firstPresent("balancer_grace", "drain_deadline"), "balancer_grace %s must be below drain_deadline %s", s.BalancerGrace, s.DrainDeadline)
	}
	if s.HeartbeatInterval >= s.TakeoverWindow {
		l.reportf(l.firstPresent("heartbeat_interval", "takeover_window"), "heartbeat_interval %s must be below takeover_window %s", s.HeartbeatInterval, s.TakeoverWindow)
	}
}

// firstPresent returns the node of the first of two fields that is present, or nil.
func (l *loader) firstPresent(a, b string) *yaml.Node {
	if n := l.nodes[a]; n != nil {
		return n
	}
	return l.nodes[b]
}
