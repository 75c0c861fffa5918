package platformsim

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/bilberrywell/bilberrywell/internal/platform"
	"github.com/bilberrywell/bilberrywell/internal/standin/simutil"
)

// RevisionHeader carries the revision of a key in an answer.
const RevisionHeader = "X-Revision"

// LeaseRequest is the body of a lease call.
type LeaseRequest struct {
	Holder string `json:"holder"`
	TTLMS  int    `json:"ttl_ms,omitempty"`
	Fence  uint64 `json:"fence,omitempty"`
}

// LeaseAnswer is the answer to a granted lease.
type LeaseAnswer struct {
	Fence uint64 `json:"fence"`
	TTLMS int    `json:"ttl_ms"`
}

// Handler serves the platform and its control calls over HTTP.
func (s *Sim) Handler() http.Handler {
	router := httprouter.New()
	// Keys may hold any path; the router must not redirect them.
	router.RedirectFixedPath = false
	router.RedirectTrailingSlash = false
	router.GET("/kv/*key", s.serveGet)
	router.PUT("/kv/*key", s.servePut)
	router.POST("/lease/*name", s.serveLease)
	router.GET("/instances", s.serveInstances)
	router.PUT("/control/instances", s.serveSetInstances)
	router.POST("/control/fault", s.serveFault)
	router.GET("/control/counts", s.serveCounts)
	return router
}

func (s *Sim) serveGet(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	key := strings.TrimPrefix(p.ByName("key"), "/")
	var entry platform.Entry
	var err error
	if r.URL.Query().Has("after") {
		entry, err = s.Watch(r.Context(), key, simutil.Uint(r, "after"), simutil.Millis(r, "wait"))
	} else {
		entry, err = s.Get(r.Context(), key)
	}
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		writeError(w, err)
		return
	}
	w.Header().Set(RevisionHeader, strconv.FormatUint(entry.Revision, 10))
	if entry.Revision == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(entry.Value)
}

func (s *Sim) servePut(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	expect, err := strconv.ParseUint(r.URL.Query().Get("expect"), 10, 64)
	if err != nil {
		simutil.WriteError(w, http.StatusBadRequest, "expect must be a revision")
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxValueBytes+1))
	if err != nil {
		simutil.WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	key := strings.TrimPrefix(p.ByName("key"), "/")
	revision, err := s.CompareAndSwap(r.Context(), key, value, expect)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set(RevisionHeader, strconv.FormatUint(revision, 10))
	w.WriteHeader(http.StatusOK)
}

func (s *Sim) serveLease(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	path := strings.TrimPrefix(p.ByName("name"), "/")
	if name, ok := strings.CutSuffix(path, "/acquire"); ok {
		s.serveAcquire(w, r, name)
		return
	}
	if name, ok := strings.CutSuffix(path, "/release"); ok {
		s.serveRelease(w, r, name)
		return
	}
	http.NotFound(w, r)
}

func (s *Sim) serveAcquire(w http.ResponseWriter, r *http.Request, name string) {
	var request LeaseRequest
	if !simutil.ReadJSON(w, r, &request) {
		return
	}
	if request.Holder == "" || request.TTLMS <= 0 {
		simutil.WriteError(w, http.StatusBadRequest, "holder and ttl_ms must be set")
		return
	}
	ttl := simutil.Milliseconds(request.TTLMS)
	lease, err := s.Acquire(r.Context(), name, request.Holder, ttl)
	if err != nil {
		writeError(w, err)
		return
	}
	answer := LeaseAnswer{Fence: lease.Fence, TTLMS: int(lease.TTL / time.Millisecond)}
	simutil.WriteJSON(w, http.StatusOK, answer)
}

func (s *Sim) serveRelease(w http.ResponseWriter, r *http.Request, name string) {
	var request LeaseRequest
	if !simutil.ReadJSON(w, r, &request) {
		return
	}
	if err := s.Release(r.Context(), name, request.Holder, request.Fence); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Sim) serveInstances(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	list, err := s.Instances(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	if list == nil {
		list = []platform.Instance{}
	}
	simutil.WriteJSON(w, http.StatusOK, list)
}

func (s *Sim) serveSetInstances(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var list []platform.Instance
	if simutil.ReadJSON(w, r, &list) {
		s.SetInstances(list)
	}
}

func (s *Sim) serveFault(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var fault Fault
	if simutil.ReadJSON(w, r, &fault) {
		s.SetFault(fault)
	}
}

func (s *Sim) serveCounts(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	simutil.WriteJSON(w, http.StatusOK, s.Counts())
}

// writeError answers with the status of an error. A lost answer closes the connection.
func writeError(w http.ResponseWriter, err error) {
	if errors.Is(err, platform.ErrUnknown) {
		panic(http.ErrAbortHandler)
	}
	simutil.WriteError(w, statusOf(err), err.Error())
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, platform.ErrConflict):
		return http.StatusConflict
	case errors.Is(err, ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrRate):
		return http.StatusTooManyRequests
	case errors.Is(err, platform.ErrUnavailable):
		return http.StatusServiceUnavailable
	}
	return http.StatusInternalServerError
}

// Start serves the platform on addr, a loopback address whose port may be 0.
func (s *Sim) Start(addr string) (*simutil.Server, error) {
	return simutil.Start(addr, &http.Server{Handler: s.Handler()})
}
