// Package membership keeps one instance's view of which instances of the fleet are live.
//
// A View combines three sources: the platform's list, which is delayed; heartbeats received
// directly; and missing heartbeats. The package performs no I/O: time is passed in as now,
// monotonic since process start, and changes of the view are returned as a list of Change.
//
// Instances of the same region are linked to each other, so an instance of this instance's region
// without heartbeats counts as silent. Missing heartbeats of an instance of another region count
// only while SetLinked names it or after a heartbeat of it was received; otherwise the list decides.
package membership

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// Instance describes an instance as known from the platform's list or from its hello message.
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
	// Leaving is set if the platform is about to stop the instance.
	Leaving bool
}

// Heartbeat is a heartbeat received over a link.
type Heartbeat struct {
	Instance
	// Incarnation is set when the instance starts. It should rise with each start, for example
	// the start time in nanoseconds: a heartbeat with a lower one than the current incarnation
	// is ignored as late until the current one is silent.
	Incarnation uint64
	// Draining is set if the instance hands over its homes and duties: the engines to which it alone
	// admits requests, and the tasks that only one instance performs.
	Draining bool
	// Interval is the sender's heartbeat interval, or zero if it is the same as the receiver's.
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
	// Silent: the instance is no longer in Live and HomeCandidates but not presumed dead; its work is
	// kept.
	Silent
	// Resumed: a silent instance counts as live again, or a draining one is no longer draining.
	Resumed
	// Gone: the instance, or this incarnation of it, is presumed dead; its work can be released.
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
	// Incarnation is zero for an instance that is listed but has sent no heartbeat yet.
	Incarnation uint64
}

// Config holds the view's time limits. Zero values take the defaults.
type Config struct {
	// Interval is this instance's heartbeat interval, MinInterval by default.
	Interval time.Duration
	// DeadAfter is the time without heartbeats after which a listed instance is presumed dead,
	// 30 s by default.
	DeadAfter time.Duration
	// StartupGrace is the time after the first list in which listed instances count as live
	// without heartbeats, 15 s by default. It also applies to instances that SetLinked newly names.
	StartupGrace time.Duration
}

const (
	// MinInterval is the shortest heartbeat interval.
	MinInterval = time.Second
	// MinSilence is the shortest time without heartbeats after which an instance is silent.
	MinSilence = 3 * time.Second

	// silentIntervals is the number of heartbeat intervals without a heartbeat after which an
	// instance is silent.
	silentIntervals  = 3
	defaultDeadAfter = 30 * time.Second
	// defaultStartupGrace covers a dial backoff of 5 s and two heartbeat intervals in a fleet of
	// 490 instances.
	defaultStartupGrace = 15 * time.Second
)

func (c Config) withDefaults() Config {
	if c.Interval <= 0 {
		c.Interval = MinInterval
	}
	if c.DeadAfter <= 0 {
		c.DeadAfter = defaultDeadAfter
	}
	if c.StartupGrace <= 0 {
		c.StartupGrace = defaultStartupGrace
	}
	return c
}
