// Package settings reads the daemon's settings from one YAML file.
//
// Load checks every field, together with the files it names, and reports all findings at once.
// examples/bilberrywelld.yaml lists each field with its default and unit.
package settings

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// Secret is the fleet's secret. It is formatted as a placeholder, so that it does not get into logs.
type Secret []byte

// String returns a placeholder.
func (Secret) String() string { return "[secret]" }

// GoString returns a placeholder.
func (Secret) GoString() string { return "[secret]" }

// Settings are the settings of one daemon.
type Settings struct {
	Instance   fleet.InstanceID
	DataCentre fleet.DataCentre
	Region     fleet.Region

	// CallerAddr, PeerAddr and AdminAddr are the addresses of the listeners, as IP:port.
	CallerAddr string
	PeerAddr   string
	AdminAddr  string
	// CallerAdvertiseAddr, PeerAdvertiseAddr and AdminAdvertiseAddr are the addresses at which other
	// machines connect to the listeners. They default to the addresses of the listeners.
	CallerAdvertiseAddr string
	PeerAdvertiseAddr   string
	AdminAdvertiseAddr  string

	// StoreAddr is the address of the platform's key-value store, as IP:port.
	StoreAddr string
	// FleetSecretFile is the file with the secret that peers and admin calls must present.
	// FleetSecret is its content without surrounding white space.
	FleetSecretFile string
	FleetSecret     Secret
	// PeerTLSCertFile, PeerTLSKeyFile and PeerTLSCAFile are PEM files. Either all or none are set.
	PeerTLSCertFile string
	PeerTLSKeyFile  string
	PeerTLSCAFile   string

	// DrainDeadline is the longest time that a stopping instance waits for streams to end.
	DrainDeadline time.Duration
	// BalancerGrace is the time from reporting not ready until the caller listener closes.
	BalancerGrace time.Duration
	// TakeoverWindow is the longest time for which an instance that becomes the home of an engine, and
	// so the one that admits requests to it, admits only a reduced share.
	TakeoverWindow time.Duration
	// TakeoverShare is that share, as a fraction of the load bound.
	TakeoverShare     float64
	HeartbeatInterval time.Duration
	// ControlBytesPerSecond is the budget for messages to peers and for probes.
	ControlBytesPerSecond int
	// MaxRequestBodyBytes, HeaderTimeout, MaxHeaderBytes and IdleTimeout are the limits for callers.
	MaxRequestBodyBytes int
	HeaderTimeout       time.Duration
	MaxHeaderBytes      int
	IdleTimeout         time.Duration
	// QueueRetryInterval is the time that a request waits in one engine's queue before the next engine
	// is tried. Its field in the file is called rewalk.
	QueueRetryInterval time.Duration
	// ClaimRetention is how long outcomes of claims are kept.
	ClaimRetention time.Duration
	// ClaimBatchDelay is how long a claim waits for other claims of its partition, to be written with
	// them.
	ClaimBatchDelay time.Duration
	// TimelineCapacity is the number of events that the timeline's ring keeps.
	TimelineCapacity int
}

// Defaults returns settings in which every optional field has its default.
func Defaults() Settings {
	return Settings{
		DrainDeadline:         60 * time.Second,
		BalancerGrace:         2 * time.Second,
		TakeoverWindow:        5 * time.Second,
		TakeoverShare:         0.25,
		HeartbeatInterval:     time.Second,
		ControlBytesPerSecond: 12288,
		MaxRequestBodyBytes:   4 << 20,
		HeaderTimeout:         5 * time.Second,
		MaxHeaderBytes:        64 << 10,
		IdleTimeout:           time.Minute,
		QueueRetryInterval:    200 * time.Millisecond,
		ClaimRetention:        24 * time.Hour,
		ClaimBatchDelay:       20 * time.Millisecond,
		TimelineCapacity:      8192,
	}
}
