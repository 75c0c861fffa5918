// Package timeline records what happened to requests and instances, and merges the records
// of many instances into one order that respects cause and effect.
//
// Each daemon keeps its events in a Ring and stamps them with a hybrid logical Clock.
// Messages carry the stamp, so an event caused by a message has a later stamp than the event
// that sent the message, even when wall clocks differ. Merge also keeps the order of each
// instance's events and puts events after their explicit causes. WriteText and WriteHTML write
// the result for people.
//
// The package reads no clock: callers pass the wall clock in. Its types are not safe for
// concurrent use.
package timeline

import (
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// Kind names what happened, in lower case with dots, for example "admit.granted".
type Kind string

// Ref identifies an event in the fleet.
type Ref struct {
	Instance    fleet.InstanceID `json:"instance"`
	Incarnation uint64           `json:"incarnation,string"`
	Sequence    uint64           `json:"sequence"`
}

// Event is one event of one instance. Fields that don't apply to it are empty. Numbers that may
// exceed 2^53 are strings in JSON, because JavaScript would round them.
type Event struct {
	Instance    fleet.InstanceID `json:"instance"`
	Incarnation uint64           `json:"incarnation,string"`
	// Sequence is set by Ring.Add. It starts at 1 in each incarnation and rises by 1.
	Sequence uint64 `json:"sequence"`
	// Mono is the monotonic time since process start.
	Mono time.Duration `json:"mono_ns"`
	// WallUnixMilli is the instance's wall clock, which may be wrong.
	WallUnixMilli int64             `json:"wall_unix_ms"`
	HLC           HLC               `json:"hlc,string"`
	Kind          Kind              `json:"kind"`
	Request       string            `json:"request,omitempty"`
	Attempt       fleet.AttemptID   `json:"attempt,omitempty"`
	Chat          fleet.ChatKey     `json:"chat,string,omitempty"`
	Engine        fleet.EngineID    `json:"engine,omitempty"`
	Customer      fleet.CustomerID  `json:"customer,omitempty"`
	Cause         *Ref              `json:"cause,omitempty"`
	Detail        map[string]string `json:"detail,omitempty"`
}

// Ref returns the event's identity, for use as the Cause of another event.
func (e *Event) Ref() Ref {
	return Ref{Instance: e.Instance, Incarnation: e.Incarnation, Sequence: e.Sequence}
}

// Filter selects events. Zero fields match everything.
type Filter struct {
	Instance fleet.InstanceID
	Kind     Kind
	Request  string
	Attempt  fleet.AttemptID
	Chat     fleet.ChatKey
	Engine   fleet.EngineID
	Customer fleet.CustomerID
}

// Match reports whether an event passes the filter.
func (f Filter) Match(e *Event) bool {
	return matchesField(f.Instance, e.Instance) &&
		matchesField(f.Kind, e.Kind) &&
		matchesField(f.Request, e.Request) &&
		matchesField(f.Attempt, e.Attempt) &&
		matchesField(f.Chat, e.Chat) &&
		matchesField(f.Engine, e.Engine) &&
		matchesField(f.Customer, e.Customer)
}

// matchesField reports whether want is zero or equal to got.
func matchesField[T comparable](want, got T) bool {
	var zero T
	return want == zero || want == got
}

// Select returns the events that pass the filter, in the same order.
func (f Filter) Select(events []Event) []Event {
	var selected []Event
	for i := range events {
		if f.Match(&events[i]) {
			selected = append(selected, events[i])
		}
	}
	return selected
}
