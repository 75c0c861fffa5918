package servicesim

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/bilberrywell/bilberrywell/internal/standin/simutil"
)

// call is one call on its way through the service.
type call struct {
	r     *http.Request
	body  []byte
	entry *LogEntry
	life  context.Context
}

// Handler serves the service and its control calls over HTTP. Every method and path other
// than /health, /load and /control is a call of the service.
func (s *Service) Handler() http.Handler {
	router := httprouter.New()
	router.HandleMethodNotAllowed = false
	router.RedirectFixedPath = false
	router.RedirectTrailingSlash = false
	router.HandleOPTIONS = false
	router.HandlerFunc(http.MethodGet, "/health", s.serveHealth)
	router.HandlerFunc(http.MethodGet, "/load", s.serveLoad)
	router.HandlerFunc(http.MethodPost, "/control/fault", s.serveFault)
	router.HandlerFunc(http.MethodGet, "/control/log", s.serveLog)
	router.NotFound = http.HandlerFunc(s.serveCall)
	return router
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		simutil.WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	life, refused := s.accept()
	if refused {
		w.Header().Set(NotRunHeader, "true")
		simutil.WriteError(w, http.StatusServiceUnavailable, "refusing")
		return
	}
	w.Header().Set(AttemptHeader, r.Header.Get(AttemptHeader))
	c := &call{r: r, body: body, life: life}
	for {
		known, own := s.claim(c)
		if own {
			s.run(w, c, known)
			return
		}
		s.await(c, known.ready)
		if s.replay(w, known) {
			return
		}
	}
}

// accept returns the life in which a call runs, or that the call is refused.
func (s *Service) accept() (life context.Context, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life, s.refuse || s.crashed
}

// claim returns the record of the call's key. The call is to run when own is true.
func (s *Service) claim(c *call) (known *record, own bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := c.r.Header.Get(KeyHeader)
	if known = s.records[key]; known != nil && s.options.Idempotent && key != "" {
		return known, false
	}
	known = &record{ready: make(chan struct{})}
	s.records[key] = known
	return known, true
}

// await waits for another run of the same key.
func (s *Service) await(c *call, ready <-chan struct{}) {
	select {
	case <-ready:
	case <-c.r.Context().Done():
		panic(http.ErrAbortHandler)
	case <-c.life.Done():
		panic(http.ErrAbortHandler)
	}
}

// replay answers from the record of an earlier run. It returns false when that run ended
// without an effect.
func (s *Service) replay(w http.ResponseWriter, known *record) bool {
	s.mu.Lock()
	receipt := known.receipt
	s.mu.Unlock()
	if receipt == nil {
		return false
	}
	w.Header().Set(ReplayedHeader, "true")
	simutil.WriteJSON(w, http.StatusOK, receipt)
	return true
}

// run runs a call with the faults that apply to it.
func (s *Service) run(w http.ResponseWriter, c *call, own *record) {
	s.begin(c)
	defer s.settle(c, own)
	s.pass(c, s.delay())
	if s.spend(&s.hang) {
		s.await(c, nil)
	}
	if s.spend(&s.crashBefore) {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	receipt := s.effect(c, own)
	if s.spend(&s.hangAfter) {
		s.await(c, nil)
	}
	if s.spend(&s.crashAfter) {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	if s.spend(&s.loseAnswer) {
		panic(http.ErrAbortHandler)
	}
	s.answered(c)
	simutil.WriteJSON(w, http.StatusOK, receipt)
}

func (s *Service) begin(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	c.entry = &LogEntry{
		Key:       c.r.Header.Get(KeyHeader),
		AttemptID: c.r.Header.Get(AttemptHeader),
		Method:    c.r.Method,
		Path:      c.r.URL.Path,
	}
	s.log = append(s.log, c.entry)
}

func (s *Service) delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.options.Delay
}

// pass lets the delay pass. A client that leaves does not stop the call, as a plain
// service does not notice it; a crash does.
func (s *Service) pass(c *call, delay time.Duration) {
	if !simutil.Sleep(c.life, delay) {
		panic(http.ErrAbortHandler)
	}
}

func (s *Service) effect(c *call, own *record) *Receipt {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.entry.Effect = true
	s.counts[c.entry.Key]++
	own.receipt = &Receipt{
		Service:    s.options.ID,
		Method:     c.entry.Method,
		Path:       c.entry.Path,
		Key:        c.entry.Key,
		BodySHA256: BodyDigest(c.body),
		Run:        s.counts[c.entry.Key],
	}
	return own.receipt
}

func (s *Service) answered(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.entry.Answered = true
}

// settle ends the record of a call. A call without an effect may run again.
func (s *Service) settle(c *call, own *record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	key := c.r.Header.Get(KeyHeader)
	if own.receipt == nil && s.records[key] == own {
		delete(s.records, key)
	}
	close(own.ready)
}

func (s *Service) serveHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	crashed := s.crashed
	s.mu.Unlock()
	if crashed {
		simutil.WriteError(w, http.StatusServiceUnavailable, "restarting")
		return
	}
	simutil.WriteJSON(w, http.StatusOK, map[string]string{"status": "ok"})
}

func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	load, up := s.Load()
	if !up {
		simutil.WriteError(w, http.StatusServiceUnavailable, "restarting")
		return
	}
	simutil.WriteJSON(w, http.StatusOK, load)
}

func (s *Service) serveFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if simutil.ReadJSON(w, r, &fault) {
		s.SetFault(fault)
	}
}

func (s *Service) serveLog(w http.ResponseWriter, _ *http.Request) {
	simutil.WriteJSON(w, http.StatusOK, s.Log())
}
