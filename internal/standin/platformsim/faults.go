package platformsim

import (
	"math/rand/v2"

	"github.com/bilberrywell/bilberrywell/internal/standin/simutil"
)

// Fault changes the faults of the platform. A nil field leaves its fault as it is.
type Fault struct {
	// Down makes the key-value service and the leases refuse every call. Waiting watches fail.
	Down *bool `json:"down,omitempty"`
	// ListDown makes the instance list refuse every call.
	ListDown *bool `json:"list_down,omitempty"`
	// SlowMS delays each key-value and lease call, half before the effect and half after it.
	SlowMS *int `json:"slow_ms,omitempty"`
	// LoseAnswers loses the answers of writes that took effect.
	LoseAnswers *LoseAnswers `json:"lose_answers,omitempty"`
	// LapseLease ends the named lease at once, without telling its holder.
	LapseLease string `json:"lapse_lease,omitempty"`
	// ListLagMS is how far the served instance list lags behind the true one.
	ListLagMS *int `json:"list_lag_ms,omitempty"`
}

// LoseAnswers says which writes take effect without an answer: the next Count ones, or
// each one with Probability, drawn from a generator seeded with Seed.
type LoseAnswers struct {
	Count       int     `json:"count,omitempty"`
	Probability float64 `json:"probability,omitempty"`
	Seed        uint64  `json:"seed,omitempty"`
}

// losses draws the writes whose answers are lost.
type losses struct {
	LoseAnswers
	random *rand.Rand
}

func newLosses(l LoseAnswers) losses {
	return losses{l, rand.New(rand.NewPCG(l.Seed, l.Seed))}
}

func (l *losses) next() bool {
	if l.Count > 0 {
		l.Count--
		return true
	}
	return l.Probability > 0 && l.random.Float64() < l.Probability
}

// SetFault applies the changes in f.
func (s *Sim) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Down != nil {
		s.down = *f.Down
	}
	if f.ListDown != nil {
		s.listDown = *f.ListDown
	}
	if f.SlowMS != nil {
		s.slow = simutil.Milliseconds(*f.SlowMS)
	}
	if f.LoseAnswers != nil {
		s.losses = newLosses(*f.LoseAnswers)
	}
	if f.ListLagMS != nil {
		s.listLag = simutil.Milliseconds(*f.ListLagMS)
	}
	delete(s.holders, f.LapseLease)
	s.wake()
}
