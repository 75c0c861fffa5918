package servicesim

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/bilberrywell/bilberrywell/internal/standin/simutil"
)

// call is one received call.
type call struct {
	r              *http.Request
	body           []byte
	entry          *LogEntry
	incarnationCtx context.Context
}

// Handler returns the HTTP handler for the service's API and for the control calls of tests. Every
// request other than those for /health, /load, /control/fault and /control/log is a call of the
// service.
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
	incarnationCtx, refused := s.accept()
	if refused {
		w.Header().Set(NotRunHeader, "true")
		simutil.WriteError(w, http.StatusServiceUnavailable, "refusing")
		return
	}
	w.Header().Set(AttemptHeader, r.Header.Get(AttemptHeader))
	c := &call{r: r, body: body, incarnationCtx: incarnationCtx}
	for {
		record, mustRun := s.claim(c)
		if mustRun {
			s.run(w, c, record)
			return
		}
		s.await(c, record.ready)
		if s.replay(w, record) {
			return
		}
	}
}

// accept returns the context of the incarnation in which a call runs, and whether the call is
// refused.
func (s *Service) accept() (incarnationCtx context.Context, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnationCtx, s.refuse || s.crashed
}

// claim returns the record of the call's key. If mustRun is true, the record is new and the caller
// must run the call. Otherwise an earlier call with the same key runs or has run.
func (s *Service) claim(c *call) (record *keyRecord, mustRun bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := c.r.Header.Get(KeyHeader)
	if record = s.keyRecords[key]; record != nil && s.options.Idempotent && key != "" {
		return record, false
	}
	record = &keyRecord{ready: make(chan struct{})}
	s.keyRecords[key] = record
	return record, true
}

// await waits until ready is closed, or forever if ready is nil. It breaks the connection if the
// client disconnects or the service crashes.
func (s *Service) await(c *call, ready <-chan struct{}) {
	select {
	case <-ready:
	case <-c.r.Context().Done():
		panic(http.ErrAbortHandler)
	case <-c.incarnationCtx.Done():
		panic(http.ErrAbortHandler)
	}
}

// replay answers with the receipt of an earlier run. It returns false if that run ended without an
// effect.
func (s *Service) replay(w http.ResponseWriter, record *keyRecord) bool {
	s.mu.Lock()
	receipt := record.receipt
	s.mu.Unlock()
	if receipt == nil {
		return false
	}
	w.Header().Set(ReplayedHeader, "true")
	simutil.WriteJSON(w, http.StatusOK, receipt)
	return true
}

// run runs a call and applies the faults that are set.
func (s *Service) run(w http.ResponseWriter, c *call, record *keyRecord) {
	s.beginCall(c)
	defer s.endCall(c, record)
	s.waitDelay(c, s.delay())
	if s.consume(&s.hang) {
		s.await(c, nil)
	}
	if s.consume(&s.crashBefore) {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	receipt := s.applyEffect(c, record)
	if s.consume(&s.hangAfter) {
		s.await(c, nil)
	}
	if s.consume(&s.crashAfter) {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	if s.consume(&s.loseAnswer) {
		panic(http.ErrAbortHandler)
	}
	s.markAnswered(c)
	simutil.WriteJSON(w, http.StatusOK, receipt)
}

func (s *Service) beginCall(c *call) {
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

// waitDelay waits for the delay. A crash stops the call. A client that disconnects does not,
// because a plain service does not notice it.
func (s *Service) waitDelay(c *call, delay time.Duration) {
	if !simutil.Sleep(c.incarnationCtx, delay) {
		panic(http.ErrAbortHandler)
	}
}

func (s *Service) applyEffect(c *call, record *keyRecord) *Receipt {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.entry.Effect = true
	s.counts[c.entry.Key]++
	record.receipt = &Receipt{
		Service:    s.options.ID,
		Method:     c.entry.Method,
		Path:       c.entry.Path,
		Key:        c.entry.Key,
		BodySHA256: BodyDigest(c.body),
		Run:        s.counts[c.entry.Key],
	}
	return record.receipt
}

func (s *Service) markAnswered(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.entry.Answered = true
}

// endCall closes the record of a call. If the call had no effect, the record is removed, so that
// the call may run again.
func (s *Service) endCall(c *call, record *keyRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	key := c.r.Header.Get(KeyHeader)
	if record.receipt == nil && s.keyRecords[key] == record {
		delete(s.keyRecords, key)
	}
	close(record.ready)
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
