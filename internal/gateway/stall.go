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
	stopped bool
	report  func()
}

// newStallWatch starts a watch.
func newStallWatch(timeout time.Duration, report func()) *stallWatch {
	w := &stallWatch{timeout: timeout, report: report}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(timeout, w.expire)
	return w
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
	w.timer.Reset(timeout)
}

func (w *stallWatch) expire() {
	w.report()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(w.timeout)
	}
}

// watchForStalls reports when the engine exceeds the header or gap timeout.
func (a *attempt) watchForStalls() {
	a.stallWatch = newStallWatch(a.cmd.HeaderTimeout, a.reportStall)
}
