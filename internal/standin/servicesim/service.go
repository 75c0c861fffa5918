// Package servicesim simulates a plain service, such as an ordering or a ledger engine. It logs
// every run with its idempotency key and attempt ID, so that a test can see whether a call ran
// more than once.
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
	// KeyHeader carries the idempotency key. Requests with the same key are the same call.
	KeyHeader = "Idempotency-Key"
	// AttemptHeader carries the attempt ID. The answer echoes it.
	AttemptHeader = "X-Attempt-Id"
	// NotRunHeader is "true" in the response to a call that was not run.
	NotRunHeader = "X-Not-Run"
	// ReplayedHeader is "true" in an answer that is repeated from an earlier run of the same key.
	ReplayedHeader = "X-Replayed"
	// maxBodyBytes bounds the body of a call.
	maxBodyBytes = 16 << 20
	// defaultRestartDelay is the default time from a crash to the next incarnation.
	defaultRestartDelay = time.Second
)

// Options are the settings of a service.
type Options struct {
	ID string
	// Delay is the time that a call takes before its effect.
	Delay time.Duration
	// Idempotent makes the service run each idempotency key once and replay its answer.
	Idempotent bool
	// Slots is the number of concurrent calls that the load report states. It is not enforced.
	Slots int
	// Incarnation is the number of the first incarnation. The default is 1.
	Incarnation uint64
}

// Receipt is the answer to a call. A client can check it against its own request.
type Receipt struct {
	Service    string `json:"service"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	Key        string `json:"key"`
	BodySHA256 string `json:"body_sha256"`
	// Run is the number of times that the key has run, including this run.
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
	// Effect reports whether the call took effect.
	Effect bool `json:"effect"`
	// Answered reports whether the service began to write an answer.
	Answered bool `json:"answered"`
}

// Log holds the runs of a service. Counts is the number of effects by idempotency key.
type Log struct {
	Runs   []LogEntry     `json:"runs"`
	Counts map[string]int `json:"counts"`
}

// Fault is a change of a service's faults and settings. A nil field leaves its value unchanged.
// Each count is the number of next calls that the fault applies to. A negative count means all
// calls.
type Fault struct {
	// CrashBefore and CrashAfter make the service crash before or after the effect of a call. A
	// crash breaks the connections of all calls, and the service refuses calls until the restart.
	CrashBefore *int `json:"crash_before,omitempty"`
	CrashAfter  *int `json:"crash_after,omitempty"`
	// LoseAnswer breaks the connection of a call after its effect.
	LoseAnswer *int `json:"lose_answer,omitempty"`
	// Hang and HangAfter make a call block before or after its effect until the client disconnects.
	Hang      *int `json:"hang,omitempty"`
	HangAfter *int `json:"hang_after,omitempty"`
	// Refuse makes the service refuse every call with X-Not-Run.
	Refuse     *bool `json:"refuse,omitempty"`
	DelayMS    *int  `json:"delay_ms,omitempty"`
	RestartMS  *int  `json:"restart_ms,omitempty"`
	Idempotent *bool `json:"idempotent,omitempty"`
}

// Load is the service's load report, in the same format as a model engine's.
type Load struct {
	InFlight    int    `json:"in_flight"`
	Slots       int    `json:"slots"`
	Incarnation uint64 `json:"incarnation"`
}

// Service is a simulated plain service. It is safe for concurrent use.
type Service struct {
	mu      sync.Mutex
	options Options
	log     []*LogEntry
	counts  map[string]int
	// keyRecords holds the calls that the service's idempotency check knows, by idempotency key.
	keyRecords map[string]*keyRecord

	crashBefore, crashAfter, loseAnswer, hang, hangAfter int

	refuse            bool
	restartDelay      time.Duration
	crashed           bool
	incarnationCtx    context.Context
	cancelIncarnation context.CancelFunc

	inFlight    int
	incarnation uint64
}

// keyRecord is a call that the service's idempotency check knows. ready is closed when the run has
// ended. receipt is nil until the call takes effect.
type keyRecord struct {
	ready   chan struct{}
	receipt *Receipt
}

// New returns a service with an empty log.
func New(options Options) *Service {
	s := &Service{
		options:      options,
		counts:       map[string]int{},
		keyRecords:   map[string]*keyRecord{},
		restartDelay: defaultRestartDelay,

		incarnation: max(options.Incarnation, 1),
	}
	s.incarnationCtx, s.cancelIncarnation = context.WithCancel(context.Background())
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
		s.restartDelay = simutil.Milliseconds(*f.RestartMS)
	}
}

func set[T any](target *T, value *T) {
	if value != nil {
		*target = *value
	}
}

// consume decrements the remaining count of a fault and reports whether the fault applies. A
// negative count never runs out.
func (s *Service) consume(count *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *count > 0 {
		*count--
		return true
	}
	return *count < 0
}

// Log returns a copy of the log.
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

// Load returns the current load, and false while the service is restarting.
func (s *Service) Load() (Load, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Load{InFlight: s.inFlight, Slots: s.options.Slots, Incarnation: s.incarnation}, !s.crashed
}

// crash breaks the connections of all calls and makes the service refuse calls until the restart.
func (s *Service) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed {
		return
	}
	s.crashed = true
	s.cancelIncarnation()
	time.AfterFunc(s.restartDelay, s.restartNow)
}

// restartNow starts the next incarnation if the service is crashed.
func (s *Service) restartNow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.crashed {
		return
	}
	s.crashed = false
	s.incarnation++
	s.incarnationCtx, s.cancelIncarnation = context.WithCancel(context.Background())
}
