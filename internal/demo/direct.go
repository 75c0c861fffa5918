package demo

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/samber/oops"

	"github.com/bilberrywell/bilberrywell/affinity"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/standin/callersim"
	"github.com/bilberrywell/bilberrywell/internal/standin/enginesim"
	"github.com/bilberrywell/bilberrywell/internal/standin/servicesim"
	"github.com/bilberrywell/bilberrywell/internal/standin/simutil"
)

// directRouter is the router of the self-check. It has instances in this process that share all
// state. It serves to check the driver, not the fleet.
type directRouter struct {
	standIns       *StandIns
	example        *Example
	servers        []*simutil.Server
	urls           []string
	stoppedEngines atomic.Pointer[map[string]bool]
	attempts       atomic.Uint64
	mu             sync.Mutex
	callRecords    map[string]*callRecord
}

// callRecord is a call that is running or has run. ready is closed when the run has ended. status is
// 502 unless the run got an answer.
type callRecord struct {
	ready  chan struct{}
	status int
	body   []byte
}

func startDirectRouter(standIns *StandIns, example *Example) (*directRouter, error) {
	d := &directRouter{standIns: standIns, example: example, callRecords: map[string]*callRecord{}}
	d.stoppedEngines.Store(&map[string]bool{})
	for range instanceCount {
		server, err := simutil.Start(loopback, &http.Server{Handler: d.handler()})
		if err != nil {
			d.close()
			return nil, err
		}
		d.servers = append(d.servers, server)
		d.urls = append(d.urls, server.URL)
	}
	return d, nil
}

func (d *directRouter) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+callersim.ChatPath, d.chat)
	mux.HandleFunc("/v1/services/{service}/{path...}", d.call)
	return mux
}

func (d *directRouter) baseURLs() []string { return d.urls }

func (d *directRouter) publish(_ context.Context, dir string) error {
	stopped, err := readStoppedEngines(dir)
	if err == nil {
		d.stoppedEngines.Store(&stopped)
	}
	return err
}

func (d *directRouter) kill(instance int) error { return d.servers[instance].Close() }

func (d *directRouter) metrics(context.Context, int) (metricValues, error) {
	return nil, oops.Errorf("the direct route has no control traffic")
}

func (d *directRouter) close() {
	for _, server := range d.servers {
		_ = server.Close()
	}
}

// chat sends a request to the engines in the order of the chat's ranking until one does not refuse it.
func (d *directRouter) chat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	key := fleet.ChatKeyOf(fleet.CustomerID(r.Header.Get("Authorization")), r.Header.Get(callersim.ConversationHeader))
	header := http.Header{enginesim.ChatHeader: {strconv.FormatUint(uint64(key), 10)}}
	for _, engine := range d.rankedEngines(d.example.firstService(kindChat), uint64(key)) {
		response, err := d.sendAttempt(r.Context(), r.Method, "http://"+d.standIns.ServedAddrs[engine.Addr]+callersim.ChatPath, header, body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if response.Header.Get(enginesim.NotRunHeader) != "true" {
			copyResponse(w, response)
			return
		}
		_ = response.Body.Close()
	}
	w.Header().Set(callersim.OutcomeHeader, string(callersim.NotRun))
	simutil.WriteError(w, http.StatusServiceUnavailable, "all engines refused")
}

// rankedEngines returns the engines of a service that are not stopped, in the order of the key's
// ranking.
func (d *directRouter) rankedEngines(service *Service, key uint64) []*Engine {
	var engines []*Engine
	var candidates []affinity.Candidate
	for _, engine := range service.Engines {
		if !(*d.stoppedEngines.Load())[engine.ID] {
			engines = append(engines, engine)
			candidates = append(candidates, affinity.Candidate{ID: engine.ID, Weight: 1})
		}
	}
	ranked := make([]*Engine, 0, len(engines))
	for _, i := range affinity.Rank(key, candidates) {
		ranked = append(ranked, engines[i])
	}
	return ranked
}

func (d *directRouter) sendAttempt(ctx context.Context, method, url string, header http.Header, body []byte) (*http.Response, error) {
	// net/http cannot rewind the body, so that it does not resend a call by itself.
	r, err := http.NewRequestWithContext(ctx, method, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	r.ContentLength = int64(len(body))
	r.Header = header
	r.Header.Set(enginesim.AttemptHeader, "direct-"+strconv.FormatUint(d.attempts.Add(1), 10))
	return http.DefaultClient.Do(r)
}

// copyResponse copies a response and flushes each part as it arrives.
func copyResponse(w http.ResponseWriter, response *http.Response) {
	defer func() { _ = response.Body.Close() }()
	w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	w.WriteHeader(response.StatusCode)
	buffer := make([]byte, 32<<10)
	flusher := http.NewResponseController(w)
	for {
		n, err := response.Body.Read(buffer)
		_, _ = w.Write(buffer[:n])
		_ = flusher.Flush()
		if err == io.EOF {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// call runs a call once per idempotency key and returns the answer to every sender of the key.
func (d *directRouter) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	key := r.Header.Get(servicesim.KeyHeader)
	c, mustRun := d.claimKey(key)
	if mustRun {
		// The run continues if its sender disconnects, because a resend may ask for the answer.
		go d.runCall(c, r.Method, r.PathValue("service"), "/"+r.PathValue("path"), key, body)
	}
	select {
	case <-c.ready:
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(c.status)
		_, _ = w.Write(c.body)
	case <-r.Context().Done():
	}
}

func (d *directRouter) claimKey(key string) (c *callRecord, mustRun bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c = d.callRecords[key]; c != nil {
		return c, false
	}
	c = &callRecord{ready: make(chan struct{}), status: http.StatusBadGateway}
	d.callRecords[key] = c
	return c, true
}

func (d *directRouter) runCall(c *callRecord, method, service, path, key string, body []byte) {
	defer close(c.ready)
	for _, s := range d.example.Services {
		if s.ID != service {
			continue
		}
		engine := d.rankedEngines(s, fleet.Hash(key))[0]
		header := http.Header{servicesim.KeyHeader: {key}}
		response, err := d.sendAttempt(context.Background(), method, "http://"+d.standIns.ServedAddrs[engine.Addr]+path, header, body)
		if err != nil {
			return
		}
		c.status = response.StatusCode
		c.body, _ = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
}
