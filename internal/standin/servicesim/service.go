// Package servicesim is a stand-in for a plain service, such as an ordering or a ledger
// engine. It records every run by idempotency key and attempt id, so that a test can see
// whether a call ran more than once.
package servicesim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"sync"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/standin/simutil"
)

const (
	// KeyHeader names the call; calls with the same key are the same call.
	KeyHeader = "Idempotency-Key"
	// AttemptHeader names the attempt. The answer echoes it.
	AttemptHeader = "X-Attempt-Id"
	// NotRunHeader is "true" in the answer to a call that was not run.
	NotRunHeader = "X-Not-Run"
	// ReplayedHeader is "true" in an answer that the service's own check took from its record.
	ReplayedHeader = "X-Replayed"
	// maxBodyBytes bounds the body of a call.
	maxBodyBytes = 16 << 20
	// defaultRestart is the time from a crash to the next incarnation.
	defaultRestart = time.Second
)

// Options are the settings of a service.
type Options struct {
	ID string
	// Delay is how long a call takes before its effect.
	Delay time.Duration
	// Idempotent makes the service run each idempotency key once and replay its answer.
	Idempotent bool
	// Slots is the number of calls that the service reports it can run at once. It is not enforced.
	Slots int
	// Incarnation is the first incarnation. The default is 1.
	Incarnation uint64
}

// Receipt is the answer to a call. A client can check it against its own request.
type Receipt struct {
	Service    string `json:"service"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	Key        string `json:"key"`
	BodySHA256 string `json:"body_sha256"`
	// Run is the number of times that the key has run, this time included.
	Run int `json:"run"`
}

// BodyDigest returns the digest of a body as in a Receipt.
func BodyDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// LogEntry is one call that began to run.
type LogEntry struct {
	Key       string `json:"key"`
	AttemptID string `json:"attempt_id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	// Effect says that the call took effect.
	Effect bool `json:"effect"`
	// Answered says that an answer is being written or was written.
	Answered bool `json:"answered"`
}

// Log is what the service has run. Counts holds the effects by idempotency key.
type Log struct {
	Runs   []LogEntry     `json:"runs"`
	Counts map[string]int `json:"counts"`
}

// Fault changes the faults of a service. A nil field leaves its fault as it is. Counts are
// numbers of calls; a negative count has no end.
type Fault struct {
	// CrashBefore and CrashAfter crash the service before or after the effect of a call:
	// the connections of all calls break, and calls are refused until the restart.
	CrashBefore *int `json:"crash_before,omitempty"`
	CrashAfter  *int `json:"crash_after,omitempty"`
	// LoseAnswer breaks the connection of a call after its effect.
	LoseAnswer *int `json:"lose_answer,omitempty"`
	// Hang and HangAfter stay silent before or after the effect until the client leaves.
	Hang      *int `json:"hang,omitempty"`
	HangAfter *int `json:"hang_after,omitempty"`
	// Refuse refuses every call with X-Not-Run.
	Refuse     *bool `json:"refuse,omitempty"`
	DelayMS    *int  `json:"delay_ms,omitempty"`
	RestartMS  *int  `json:"restart_ms,omitempty"`
	Idempotent *bool `json:"idempotent,omitempty"`
}

// Load is what the service reports about itself, in the same shape as a model engine.
type Load struct {
	InFlight    int    `json:"in_flight"`
	Slots       int    `json:"slots"`
	Incarnation uint64 `json:"incarnation"`
}

// Service is a plain service. It is safe for concurrent use.
type Service struct {
	mu      sync.Mutex
	options Options
	log     []*LogEntry
	counts  map[string]int
	// records holds the calls that the service's own check knows.
	records map[string]*record

	crashBefore, crashAfter, loseAnswer, hang, hangAfter int

	refuse  bool
	restart time.Duration
	crashed bool
	life    context.Context
	end     context.CancelFunc

	inFlight    int
	incarnation uint64
}

// record is a call that the service's own check knows. ready is closed once the receipt is
// there, or once the call ended without an effect.
type record struct {
	ready   chan struct{}
	receipt *Receipt
}

// New returns a service that has run nothing.
func New(options Options) *Service {
	s := &Service{
		options: options,
		counts:  map[string]int{},
		records: map[string]*record{},
		restart: defaultRestart,

		incarnation: max(options.Incarnation, 1),
	}
	s.life, s.end = context.WithCancel(context.Background())
	return s
}

// Start serves the service on addr, a loopback address whose port may be 0.
func (s *Service) Start(addr string) (*simutil.Server, error) {
	return simutil.Start(addr, &http.Server{Handler: s.Handler()})
}

// SetFault applies the changes in f.
func (s *Service) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set(&s.crashBefore, f.CrashBefore)
	set(&s.crashAfter, f.CrashAfter)
	set(&s.loseAnswer, f.LoseAnswer)
	set(&s.hang, f.Hang)
	set(&s.hangAfter, f.HangAfter)
	set(&s.refuse, f.Refuse)
	set(&s.options.Idempotent, f.Idempotent)
	if f.DelayMS != nil {
		s.options.Delay = simutil.Milliseconds(*f.DelayMS)
	}
	if f.RestartMS != nil {
		s.restart = simutil.Milliseconds(*f.RestartMS)
	}
}

func set[T any](target *T, value *T) {
	if value != nil {
		*target = *value
	}
}

// spend uses up one call of a counted fault and reports whether the fault applies.
func (s *Service) spend(count *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *count > 0 {
		*count--
		return true
	}
	return *count < 0
}

// Log returns what has run so far.
func (s *Service) Log() Log {
	s.mu.Lock()
	defer s.mu.Unlock()
	log := Log{Runs: make([]LogEntry, len(s.log)), Counts: map[string]int{}}
	for i, entry := range s.log {
		log.Runs[i] = *entry
	}
	for key, count := range s.counts {
		log.Counts[key] = count
	}
	return log
}

// Load returns the present load, and false while the service restarts.
func (s *Service) Load() (Load, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Load{InFlight: s.inFlight, Slots: s.options.Slots, Incarnation: s.incarnation}, !s.crashed
}

// crash breaks all calls and refuses new ones until the restart.
func (s *Service) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed {
		return
	}
	s.crashed = true
	s.end()
	time.AfterFunc(s.restart, s.restartNow)
}

// restartNow begins the next incarnation after a crash.
func (s *Service) restartNow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.crashed {
		return
	}
	s.crashed = false
	s.incarnation++
	s.life, s.end = context.WithCancel(context.Background())
}
