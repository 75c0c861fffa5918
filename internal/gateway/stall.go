package gateway

import (
	"sync"
	"time"
)

// stallWatch calls a function whenever nothing has happened for a timeout.
type stallWatch struct {
	mu      sync.Mutex
	timer   *time.Timer
	timeout time.Duration
	// due is when the timeout passes unless the watch is reset.
	due     time.Time
	stopped bool
	// report gets the function that tells whether the timeout still holds.
	report func(silent func() bool)
}

// newStallWatch starts a watch.
func newStallWatch(timeout time.Duration, report func(silent func() bool)) *stallWatch {
	w := &stallWatch{timeout: timeout, report: report}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.due = time.Now().Add(timeout)
	w.timer = time.AfterFunc(timeout, w.expire)
	return w
}

// silent reports whether nothing has happened for the timeout. It may have since the function was called.
func (w *stallWatch) silent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.stopped && !time.Now().Before(w.due)
}

// reset starts a new timeout, or stops the watch if it is 0. A nil watch does nothing.
func (w *stallWatch) reset(timeout time.Duration) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timeout = timeout
	w.stopped = w.stopped || timeout == 0
	if w.stopped {
		w.timer.Stop()
		return
	}
	w.restart()
}

func (w *stallWatch) restart() {
	w.due = time.Now().Add(w.timeout)
	w.timer.Reset(w.timeout)
}

func (w *stallWatch) expire() {
	w.report(w.silent)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped && !time.Now().Before(w.due) {
		w.restart()
	}
}

// watchForStalls reports when the engine exceeds the header or gap timeout.
func (a *attempt) watchForStalls() {
	a.stallWatch = newStallWatch(a.cmd.HeaderTimeout, a.reportStall)
}
