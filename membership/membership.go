// Package membership keeps one instance's view of which instances of the fleet are live.
//
// A View combines three sources: the platform's list, which lags; heartbeats received
// directly; and their absence. The package is pure: time is passed in as now, monotonic
// since process start, and effects are returned as a list of Change.
//
// Instances of the own region are linked to each other, so their silence is evidence.
// An instance of another region is judged by silence only while Expect names it or after
// it was heard; otherwise the list decides.
package membership

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// Instance describes a daemon as known from the list or from its hello message.
type Instance struct {
	ID fleet.InstanceID
	// Addr is the address of the peer listener, host:port.
	Addr       string
	DataCentre fleet.DataCentre
	Region     fleet.Region
}

// Row is one row of the platform's list.
type Row struct {
	Instance
	// Leaving tells that the platform is about to stop the instance.
	Leaving bool
}

// Beat is a heartbeat received over a link.
type Beat struct {
	Instance
	// Incarnation is set at the start of the daemon. It should rise with each start, for
	// example the start time in nanoseconds: a lower one than the current incarnation is
	// taken for a late message until the current one is silent.
	Incarnation uint64
	// Draining tells that the instance hands over its homes and duties.
	Draining bool
	// Interval is the sender's heartbeat interval, or zero if it is the same as the own one.
	Interval time.Duration
}

// Kind is the kind of a Change.
type Kind uint8

// Kinds of changes.
const (
	// Joined: the instance became live.
	Joined Kind = iota + 1
	// Draining: the instance takes no new home or duty but is still reachable.
	Draining
	// Silent: the instance left Live and Homes but is not believed dead; its work is kept.
	Silent
	// Resumed: a silent instance was heard again, or draining was called off.
	Resumed
	// Gone: the instance, or this incarnation of it, is believed dead; its work can be freed.
	Gone
)

// String returns the kind's name in lower case.
func (k Kind) String() string {
	names := [...]string{"none", "joined", "draining", "silent", "resumed", "gone"}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// Change is one change of the view.
type Change struct {
	Kind     Kind
	Instance fleet.InstanceID
	// Incarnation is zero for an instance that was listed and never heard.
	Incarnation uint64
}

// Config holds the view's time limits. Zero values take the defaults.
type Config struct {
	// Interval is the own heartbeat interval, MinInterval by default.
	Interval time.Duration
	// LongSilence is the silence after which a listed instance is believed dead, 30 s by default.
	LongSilence time.Duration
	// Probation is the time after the first list in which listed instances count as live
	// without being heard, 15 s by default.
	Probation time.Duration
}

const (
	// MinInterval is the shortest heartbeat interval.
	MinInterval = time.Second
	// MinSilence is the shortest silence that counts as evidence.
	MinSilence = 3 * time.Second

	silentIntervals    = 3
	defaultLongSilence = 30 * time.Second
	// The default probation covers a dial backoff of 5 s and two heartbeats of a fleet of 490.
	defaultProbation = 15 * time.Second
)

func (c Config) withDefaults() Config {
	if c.Interval <= 0 {
		c.Interval = MinInterval
	}
	if c.LongSilence <= 0 {
		c.LongSilence = defaultLongSilence
	}
	if c.Probation <= 0 {
		c.Probation = defaultProbation
	}
	return c
}
