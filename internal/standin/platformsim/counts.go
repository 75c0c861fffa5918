package platformsim

import "time"

// Calls counts calls by kind.
type Calls struct {
	Get   int `json:"get"`
	Watch int `json:"watch"`
	Put   int `json:"put"`
	Lease int `json:"lease"`
	List  int `json:"list"`
}

// Counts is what the platform has been asked since its start.
type Counts struct {
	// Calls were let in. A waiting watch counts as one call.
	Calls
	// Refused were above the stated rate.
	Refused Calls `json:"refused"`
	// Unavailable arrived while the service was down.
	Unavailable Calls `json:"unavailable"`
	// Conflicts are writes and lease calls that were answered with a conflict.
	Conflicts int `json:"conflicts"`
	// LostAnswers are writes that took effect without an answer.
	LostAnswers int `json:"lost_answers"`
	// Waiting is the number of watches that wait now.
	Waiting int `json:"waiting"`
	// PeakReads and PeakWrites are the most calls let in within one second.
	PeakReads  int `json:"peak_reads_per_s"`
	PeakWrites int `json:"peak_writes_per_s"`
}

// kind is a kind of call.
type kind int

const (
	kindGet kind = iota
	kindWatch
	kindPut
	kindLease
	kindList
)

func (k kind) writes() bool {
	return k == kindPut || k == kindLease
}

func (c *Calls) add(k kind) {
	switch k {
	case kindGet:
		c.Get++
	case kindWatch:
		c.Watch++
	case kindPut:
		c.Put++
	case kindLease:
		c.Lease++
	case kindList:
		c.List++
	}
}

// window counts calls within the current second.
type window struct {
	start time.Time
	calls int
}

// take counts a call unless limit calls were counted in the current second. It returns the
// calls counted in that second.
func (w *window) take(now time.Time, limit int) (int, bool) {
	if now.Sub(w.start) >= time.Second {
		w.start, w.calls = now, 0
	}
	if w.calls >= limit {
		return w.calls, false
	}
	w.calls++
	return w.calls, true
}

// Counts returns the counts so far.
func (s *Sim) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}
