package daemon

import (
	"strconv"
	"sync"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/core"
	"github.com/bilberrywell/bilberrywell/timeline"
)

// eventLog keeps the newest events of the instance's time line. It gives each event a time stamp of
// a hybrid logical clock (HLC), which orders events of different instances.
type eventLog struct {
	instance    fleet.InstanceID
	incarnation uint64
	start       time.Time

	mu    sync.Mutex
	ring  *timeline.Ring
	clock timeline.Clock
}

func newEventLog(instance fleet.InstanceID, incarnation uint64, capacity int) *eventLog {
	return &eventLog{
		instance:    instance,
		incarnation: incarnation,
		start:       time.Now(),
		ring:        timeline.NewRing(capacity),
	}
}

// add stamps an event and stores it.
func (l *eventLog) add(r core.RecordEvent) {
	wall := time.Now().UnixMilli()
	event := timeline.Event{
		Instance:      l.instance,
		Incarnation:   l.incarnation,
		Mono:          time.Since(l.start),
		WallUnixMilli: wall,
		Kind:          timeline.Kind(r.Kind),
		Attempt:       r.Attempt,
		Chat:          r.Chat,
		Engine:        r.Engine,
		Customer:      r.Customer,
	}
	if r.Request != 0 {
		event.Request = string(l.instance) + "-" + strconv.FormatUint(uint64(r.Request), 10)
	}
	if r.Detail != "" {
		event.Detail = map[string]string{"detail": r.Detail}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	event.HLC = l.clock.Now(wall)
	l.ring.Add(event)
}

// stamp returns the HLC time stamp for an outgoing message.
func (l *eventLog) stamp() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return uint64(l.clock.Now(time.Now().UnixMilli()))
}

// observe updates the clock with the time stamp of a received message.
func (l *eventLog) observe(stamp uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clock.Observe(timeline.HLC(stamp), time.Now().UnixMilli())
}

// after returns the oldest stored events that follow a sequence number, at most
// timeline.DefaultCapacity.
func (l *eventLog) after(sequence uint64) []timeline.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	events, _ := l.ring.After(sequence, timeline.DefaultCapacity)
	if events == nil {
		events = []timeline.Event{}
	}
	return events
}

func (d *Daemon) recordEvent(r core.RecordEvent) { d.events.add(r) }
