package enginesim

import (
	"strings"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/standin/simutil"
)

// defaultRestart is the time from a crash to the next incarnation.
const defaultRestart = time.Second

// Fault changes the faults of an engine. A nil field leaves its fault as it is.
type Fault struct {
	// CrashOn crashes the engine when it runs a request with a message that holds this text.
	// The empty text switches the fault off.
	CrashOn *string `json:"crash_on,omitempty"`
	// Crash crashes the engine now.
	Crash bool `json:"crash,omitempty"`
	// RestartMS is the time from a crash to the next incarnation.
	RestartMS *int `json:"restart_ms,omitempty"`
	// RestartBreaks makes a crashed engine break new connections instead of refusing
	// requests with X-Not-Run.
	RestartBreaks *bool `json:"restart_breaks,omitempty"`
	// Freeze silences all open connections for good, without closing them.
	Freeze bool `json:"freeze,omitempty"`
	// EndWithoutDone ends streams early without a usage chunk and the done mark.
	EndWithoutDone *Cut `json:"end_without_done,omitempty"`
	// BreakAfter breaks the connection of a stream.
	BreakAfter *Cut `json:"break_after,omitempty"`
	// WrongAttemptID crosses this many answers: another request's answer and attempt id.
	// A negative number has no end.
	WrongAttemptID *int `json:"wrong_attempt_id,omitempty"`
	// Slow multiplies all times.
	Slow *float64 `json:"slow,omitempty"`
	// Refuse refuses every new request with X-Not-Run.
	Refuse *bool `json:"refuse,omitempty"`
	// Draining refuses new requests with X-Not-Run and shows in the load report.
	Draining *bool `json:"draining,omitempty"`
	// DropEvents drops the next cache events.
	DropEvents *int `json:"drop_events,omitempty"`
	LoadLagMS  *int `json:"load_lag_ms,omitempty"`
	EventLagMS *int `json:"event_lag_ms,omitempty"`
	// CheckFence makes the engine refuse orders with an old fencing number, or take them.
	CheckFence *bool `json:"check_fence,omitempty"`
}

// Cut ends streams after a number of tokens, the given number of times. A negative number
// of times has no end.
type Cut struct {
	After int `json:"after"`
	Times int `json:"times"`
}

// faults is the state of the faults of an engine.
type faults struct {
	crashOn       string
	restart       time.Duration
	restartBreaks bool
	endWithout    Cut
	breakAfter    Cut
	crossed       int
	slow          float64
	refuse        bool
	draining      bool
	dropEvents    int
}

// SetFault applies the changes in f.
func (e *Engine) SetFault(f Fault) {
	e.mu.Lock()
	set(&e.faults.crashOn, f.CrashOn)
	set(&e.faults.restartBreaks, f.RestartBreaks)
	set(&e.faults.endWithout, f.EndWithoutDone)
	set(&e.faults.breakAfter, f.BreakAfter)
	set(&e.faults.crossed, f.WrongAttemptID)
	set(&e.faults.slow, f.Slow)
	set(&e.faults.refuse, f.Refuse)
	set(&e.faults.draining, f.Draining)
	set(&e.faults.dropEvents, f.DropEvents)
	set(&e.options.CheckFence, f.CheckFence)
	setMillis(&e.faults.restart, f.RestartMS)
	setMillis(&e.options.LoadLag, f.LoadLagMS)
	setMillis(&e.options.EventLag, f.EventLagMS)
	if f.Freeze {
		e.freeze()
	}
	e.noteLoad()
	e.mu.Unlock()
	if f.Crash {
		e.Crash()
	}
}

func set[T any](target *T, value *T) {
	if value != nil {
		*target = *value
	}
}

func setMillis(target *time.Duration, value *int) {
	if value != nil {
		*target = simutil.Milliseconds(*value)
	}
}

// spend uses up one time of a counted fault and reports whether the fault applies.
func spend(times *int) bool {
	if *times > 0 {
		*times--
		return true
	}
	return *times < 0
}

// plan is what faults do to one run.
type plan struct {
	crash   bool
	crossed bool
	// endAfter and breakAfter are numbers of tokens, or -1.
	endAfter   int
	breakAfter int
}

// planFor decides what faults do to a run of messages.
func (e *Engine) planFor(messages []Message) plan {
	e.mu.Lock()
	defer e.mu.Unlock()
	return plan{
		crash:      holds(messages, e.faults.crashOn),
		crossed:    spend(&e.faults.crossed),
		endAfter:   e.faults.endWithout.spend(),
		breakAfter: e.faults.breakAfter.spend(),
	}
}

func (c *Cut) spend() int {
	if spend(&c.Times) {
		return c.After
	}
	return -1
}

func holds(messages []Message, text string) bool {
	for _, message := range messages {
		if text != "" && strings.Contains(string(message.Content), text) {
			return true
		}
	}
	return false
}
