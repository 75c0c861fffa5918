package enginesim

import (
	"context"
	"time"
)

const (
	// EventStored says that the prefix of a chat is cached.
	EventStored = "stored"
	// EventEvicted says that the prefix of a chat is no longer cached.
	EventEvicted = "evicted"
	// maxEvents bounds the events kept. Older ones are lost to late readers.
	maxEvents = 10_000
)

// Event is one change of the prompt cache. Sequence numbers start at 1 in each
// incarnation; a missing number is an event that was dropped.
type Event struct {
	Seq  uint64 `json:"seq"`
	Kind string `json:"kind"`
	// Chat is the value of the X-Chat-Key header of the request.
	Chat string `json:"chat"`
	at   time.Time
}

// record adds an event, or only spends its sequence number when a fault drops it. The
// caller holds the lock.
func (e *Engine) record(kind, chat string) {
	if chat == "" {
		return
	}
	e.eventSeq++
	if e.dropsEvent() {
		return
	}
	e.events = append(e.events, Event{e.eventSeq, kind, chat, time.Now()})
	if len(e.events) > maxEvents {
		e.events = append(e.events[:0], e.events[maxEvents/2:]...)
	}
	close(e.eventsChanged)
	e.eventsChanged = make(chan struct{})
}

func (e *Engine) dropsEvent() bool {
	if e.faults.dropEvents > 0 {
		e.faults.dropEvents--
		return true
	}
	return e.options.EventDrop > 0 && e.random.Float64() < e.options.EventDrop
}

// Events waits at most wait for events after a sequence number that are older than the
// event lag, and returns them. It returns none when ctx ends first.
func (e *Engine) Events(ctx context.Context, after uint64, wait time.Duration) []Event {
	deadline := time.Now().Add(wait)
	for {
		found, next, changed := e.visible(after)
		left := time.Until(deadline)
		if len(found) > 0 || left <= 0 {
			return found
		}
		if next > 0 {
			left = min(left, next)
		}
		timer := time.NewTimer(left)
		select {
		case <-timer.C:
		case <-changed:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
		timer.Stop()
	}
}

// visible returns the events after a sequence number that the lag lets through, and the
// time until the next one is let through, or 0.
func (e *Engine) visible(after uint64) (found []Event, next time.Duration, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, event := range e.events {
		if event.Seq <= after {
			continue
		}
		if hidden := event.at.Add(e.options.EventLag).Sub(now); hidden > 0 {
			next = hidden
			break
		}
		found = append(found, event)
	}
	return found, next, e.eventsChanged
}
