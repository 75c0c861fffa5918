// Package admission decides which requests may run on an engine, and when.
//
// Each engine has one home, the instance that alone admits requests to it. The instance that
// received a request from its caller is the request's entry; it offers the request to the
// engine's home. Each try to run a request on an engine is an attempt.
//
// A Home keeps an exact count of the attempts that run on each of its engines, limits every
// engine to its slots and to a set multiple of the pool's mean load, and queues requests above
// these limits. Queues are fair between customers and bounded in length and time. All inputs
// carry the time. Decisions about queued requests are collected; the caller must fetch them
// with Decisions after each input.
//
// When an engine gets a new home, attempts that the former home granted may still run. During the
// takeover, until all entries have registered their attempts with the new home or a time limit is over,
// the new home grants only a share of the engine's limit.
//
// Attempt ids are unique in the fleet. Every input may arrive twice or out of order: an offer of
// a released attempt is refused and a registration of one is ignored, a repeated offer gets the
// same answer again, and a release of an unknown attempt changes no count. An entry that stops
// waiting for an answer must release the attempt; the home then removes it, whether it was
// granted or not.
package admission

import (
	"cmp"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/quarantine"
)

// Class is a priority class. Lower classes are served first.
type Class uint8

// Engine describes an engine to its home.
type Engine struct {
	ID   fleet.EngineID
	Pool fleet.ServiceID
	// Slots is the most attempts that may run at once.
	Slots int
	// Capacity is the engine's share of the pool's load relative to the pool's other engines.
	Capacity float64
}

// Request asks for one attempt on one engine. Times are on the home's clock.
type Request struct {
	Attempt  fleet.AttemptID
	Entry    fleet.InstanceID
	Customer fleet.CustomerID
	// Weight is the customer's share relative to others. Zero or less means 1.
	Weight float64
	Class  Class
	// Deadline is the time from which the request is no longer started. Zero means none.
	Deadline time.Duration
	// Arrival is when the request reached its entry. It is the same in offers to other engines.
	Arrival     time.Duration
	Chat        fleet.ChatKey
	Fingerprint fleet.Fingerprint
	Engine      fleet.EngineID
	// Movable reports that another engine can serve the request equally well if its chat is not
	// cached here. Such a request is admitted only up to Config.UncachedFactor times the mean load.
	Movable bool
	// MayQueue allows the request to wait at this engine.
	MayQueue bool
	// NoRedirect keeps a waiting request in this queue until the queue's time limit: it is not
	// redirected with WaitExceeded.
	NoRedirect bool
}

// Kind is the kind of a decision.
type Kind uint8

// The kinds of decisions.
const (
	// Granted: the attempt may run and counts until its release.
	Granted Kind = iota + 1
	// Queued: the attempt waits; another decision follows.
	Queued
	// Redirect: the entry should try the next engine for the chat.
	Redirect
	// Refused: the attempt does not run; see the reason.
	Refused
)

// String returns the name of the kind.
func (k Kind) String() string {
	return [...]string{"", "granted", "queued", "redirect", "refused"}[k]
}

// Reason explains a redirect or a refusal.
type Reason uint8

// The reasons.
const (
	// NotHome: this instance is not, or no longer, the engine's home.
	NotHome Reason = iota + 1
	// Draining: the engine takes no new work.
	Draining
	// HoldDown: the engine crashed or left and came back a short time ago.
	HoldDown
	// Saturated: the engine has no room for the request, and the request may not queue.
	Saturated
	// WaitExceeded: the request has waited for Config.RedirectAfter. Its text is "rewalk".
	WaitExceeded
	// QueueFull: the queue is at its length limit.
	QueueFull
	// QueueTime: the request has waited for the time limit.
	QueueTime
	// Expired: the request's deadline has passed.
	Expired
	// Suspect: the request is suspected of crashing engines and may not run beside the attempts
	// that run on the engine now.
	Suspect
	// Quarantined: the fingerprint is quarantined.
	Quarantined
	// Finished: the attempt has been released already.
	Finished
	// Crashed: the engine crashed while the request waited.
	Crashed
)

// String returns the name of the reason.
func (r Reason) String() string {
	return [...]string{"", "not_home", "draining", "hold_down", "saturated", "rewalk", "queue_full",
		"queue_time", "expired", "suspect", "quarantined", "finished", "crashed"}[r]
}

// Decision is the home's answer to an attempt.
type Decision struct {
	Kind    Kind
	Reason  Reason
	Attempt fleet.AttemptID
	Entry   fleet.InstanceID
	Engine  fleet.EngineID
	// RetryAfter is how long the entry should not offer to the engine. Set for some refusals.
	RetryAfter time.Duration
	// Waited is the time that a granted attempt spent in this queue.
	Waited time.Duration
	// CacheState is the cache estimate for the chat at the time of a grant.
	CacheState CacheState
}

// Result is how an attempt ended.
type Result uint8

// The results of an attempt.
const (
	// Done: the engine answered completely, so the chat's prefix is cached there.
	Done Result = iota
	// Failed: the attempt ended before the answer was complete.
	Failed
	// Cancelled: the caller or the entry gave up.
	Cancelled
	// NotRun: no byte of the request reached the engine.
	NotRun
)

// Guard decides whether a request that may crash engines can run. *quarantine.Tracker
// implements it.
type Guard interface {
	Check(now time.Duration, fingerprint fleet.Fingerprint) quarantine.Status
	MayRunBeside(now time.Duration, fingerprint fleet.Fingerprint, running []fleet.Fingerprint) bool
}

// Config holds the limits of a Home. Zero fields take the defaults.
type Config struct {
	// LoadFactor is the multiple of the pool's mean load up to which an engine admits requests.
	// Default 1.25.
	LoadFactor float64
	// UncachedFactor is the multiple of the pool's mean load up to which movable requests of
	// uncached chats are admitted. The load between it and LoadFactor is left to chats with a
	// cached prefix. Default 1.
	UncachedFactor float64
	// TakeoverShare is the share of an engine's limit that is granted during a takeover. Default 0.25.
	TakeoverShare float64
	// TakeoverWindow is the longest takeover. Default 5 s.
	TakeoverWindow time.Duration
	// RedirectAfter is the time in a queue after which a request is redirected, so that its entry tries
	// the next engine. Default 200 ms.
	RedirectAfter time.Duration
	// QueueLength is the most requests that wait at one engine. Default 64.
	QueueLength int
	// QueueTime is the longest wait since a request's arrival. Default 10 s.
	QueueTime time.Duration
	// DeadlineMargin is the time before the deadline from which a waiting request is served in
	// class 0. Default 5 s.
	DeadlineMargin time.Duration
	// SurgeDeviations sets when a customer counts as surging: when its running and waiting
	// requests exceed its weighted share of the slots by more than this many times the share's
	// square root. A surging customer is served after the others. Default 10: with 4, random
	// backlogs at 85% load count as surges and raise that customer's p95 wait up to threefold.
	// Negative means never.
	SurgeDeviations float64
	// SurgeReserve is the share of an engine's slots, rounded up, that a surging customer may not
	// take, so that they stay free for the others. Default 0.1875, three slots of 16: with two,
	// the others' p95 wait still rises in a surge on a lightly loaded engine. Negative means none.
	SurgeReserve float64
	// ActiveWindow is the time for which a customer counts as active after its last request. Default 10 s.
	ActiveWindow time.Duration
	// HoldDownMin and HoldDownMax bound the hold-down, the time for which an engine that crashed or
	// came back takes no requests. It doubles with each flap. Defaults 1 s and 60 s.
	HoldDownMin, HoldDownMax time.Duration
	// CacheEntries is the most chats per engine that the cache estimate holds. Default 8192.
	CacheEntries int
	// RetryAfter is the RetryAfter of refusals with QueueFull or QueueTime. Default 1 s.
	RetryAfter time.Duration
	// Guard, if set, is consulted before each grant.
	Guard Guard
}

func (c Config) withDefaults() Config {
	c.LoadFactor = cmp.Or(c.LoadFactor, 1.25)
	c.UncachedFactor = cmp.Or(c.UncachedFactor, 1)
	c.TakeoverShare = cmp.Or(c.TakeoverShare, 0.25)
	c.TakeoverWindow = cmp.Or(c.TakeoverWindow, 5*time.Second)
	c.RedirectAfter = cmp.Or(c.RedirectAfter, 200*time.Millisecond)
	c.QueueLength = cmp.Or(c.QueueLength, 64)
	c.QueueTime = cmp.Or(c.QueueTime, 10*time.Second)
	c.DeadlineMargin = cmp.Or(c.DeadlineMargin, 5*time.Second)
	c.SurgeDeviations = cmp.Or(c.SurgeDeviations, 10)
	c.SurgeReserve = cmp.Or(c.SurgeReserve, 0.1875)
	c.ActiveWindow = cmp.Or(c.ActiveWindow, 10*time.Second)
	c.HoldDownMin = cmp.Or(c.HoldDownMin, time.Second)
	c.HoldDownMax = cmp.Or(c.HoldDownMax, time.Minute)
	c.CacheEntries = cmp.Or(c.CacheEntries, 8192)
	c.RetryAfter = cmp.Or(c.RetryAfter, time.Second)
	return c
}
