package enginesim

import (
	"strings"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/standin/simutil"
)

// defaultRestartDelay is the default time from a crash to the next incarnation.
const defaultRestartDelay = time.Second

// Fault is a change of an engine's faults and settings. A nil field leaves its value unchanged.
type Fault struct {
	// CrashOn makes the engine crash when it runs a request with a message that contains this
	// text. The empty text disables the fault.
	CrashOn *string `json:"crash_on,omitempty"`
	// Crash makes the engine crash immediately.
	Crash bool `json:"crash,omitempty"`
	// RestartMS is the time from a crash to the next incarnation.
	RestartMS *int `json:"restart_ms,omitempty"`
	// RestartBreaks makes a restarting engine break the connections of new requests instead of
	// refusing the requests with X-Not-Run.
	RestartBreaks *bool `json:"restart_breaks,omitempty"`
	// Freeze permanently stops all output on the open connections, without closing them.
	Freeze bool `json:"freeze,omitempty"`
	// EndWithoutDone ends streams early, without the usage chunk and [DONE].
	EndWithoutDone *StreamCut `json:"end_without_done,omitempty"`
	// BreakAfter breaks the connections of streams.
	BreakAfter *StreamCut `json:"break_after,omitempty"`
	// WrongAttemptID is the number of requests that get the answer and attempt ID of another
	// request. A negative number means all requests.
	WrongAttemptID *int `json:"wrong_attempt_id,omitempty"`
	// Slow is a factor for the time to the first token and for the time of a decoding step.
	Slow *float64 `json:"slow,omitempty"`
	// Refuse makes the engine refuse every new request with X-Not-Run.
	Refuse *bool `json:"refuse,omitempty"`
	// Draining makes the engine refuse every new request with X-Not-Run and report that it is
	// draining.
	Draining *bool `json:"draining,omitempty"`
	// DropEvents is the number of next cache events to drop.
	DropEvents *int `json:"drop_events,omitempty"`
	LoadLagMS  *int `json:"load_lag_ms,omitempty"`
	EventLagMS *int `json:"event_lag_ms,omitempty"`
	// CheckFence sets whether the engine refuses orders with an outdated fencing number.
	CheckFence *bool `json:"check_fence,omitempty"`
}

// StreamCut ends the next Times streams after After tokens each. A negative Times means all streams.
type StreamCut struct {
	After int `json:"after"`
	Times int `json:"times"`
}

// faults is the current state of an engine's faults.
type faults struct {
	crashOn        string
	restartDelay   time.Duration
	restartBreaks  bool
	endWithoutDone StreamCut
	breakAfter     StreamCut
	wrongAnswers   int
	slowFactor     float64
	refuse         bool
	draining       bool
	dropEvents     int
}

// SetFault applies the changes in f.
func (e *Engine) SetFault(f Fault) {
	e.mu.Lock()
	set(&e.faults.crashOn, f.CrashOn)
	set(&e.faults.restartBreaks, f.RestartBreaks)
	set(&e.faults.endWithoutDone, f.EndWithoutDone)
	set(&e.faults.breakAfter, f.BreakAfter)
	set(&e.faults.wrongAnswers, f.WrongAttemptID)
	set(&e.faults.slowFactor, f.Slow)
	set(&e.faults.refuse, f.Refuse)
	set(&e.faults.draining, f.Draining)
	set(&e.faults.dropEvents, f.DropEvents)
	set(&e.options.CheckFence, f.CheckFence)
	setMillis(&e.faults.restartDelay, f.RestartMS)
	setMillis(&e.options.LoadLag, f.LoadLagMS)
	setMillis(&e.options.EventLag, f.EventLagMS)
	if f.Freeze {
		e.freezeConnections()
	}
	e.recordLoad()
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

// consume decrements the remaining count of a fault and reports whether the fault applies. A
// negative count never runs out.
func consume(times *int) bool {
	if *times > 0 {
		*times--
		return true
	}
	return *times < 0
}

// runFaults holds the faults that apply to one run.
type runFaults struct {
	crash       bool
	wrongAnswer bool
	// endAfter and breakAfter are the numbers of tokens after which to end the stream or break its
	// connection, or -1.
	endAfter   int
	breakAfter int
}

// faultsOfRun decides which faults apply to a run with messages, and consumes counted faults.
func (e *Engine) faultsOfRun(messages []Message) runFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return runFaults{
		crash:       anyContains(messages, e.faults.crashOn),
		wrongAnswer: consume(&e.faults.wrongAnswers),
		endAfter:    e.faults.endWithoutDone.consume(),
		breakAfter:  e.faults.breakAfter.consume(),
	}
}

func (c *StreamCut) consume() int {
	if consume(&c.Times) {
		return c.After
	}
	return -1
}

func anyContains(messages []Message, text string) bool {
	for _, message := range messages {
		if text != "" && strings.Contains(string(message.Content), text) {
			return true
		}
	}
	return false
}
