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

// direct is the route of the self-check: instances in this process that share all state.
// It checks the driver, not the fleet.
type direct struct {
	world   *World
	example *Example
	servers []*simutil.Server
	urls    []string
	stopped atomic.Pointer[map[string]bool]
	attempt atomic.Uint64
	mu      sync.Mutex
	claims  map[string]*claimed
}

// claimed is a call that is running or has run. ready is closed once the answer is there.
type claimed struct {
	ready  chan struct{}
	status int
	body   []byte
}

func startDirect(world *World, example *Example) (*direct, error) {
	d := &direct{world: world, example: example, claims: map[string]*claimed{}}
	d.stopped.Store(&map[string]bool{})
	for range instances {
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

func (d *direct) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+callersim.ChatPath, d.chat)
	mux.HandleFunc("/v1/services/{service}/{path...}", d.call)
	return mux
}

func (d *direct) bases() []string { return d.urls }

func (d *direct) publish(_ context.Context, dir string) error {
	stopped, err := stoppedEngines(dir)
	if err == nil {
		d.stopped.Store(&stopped)
	}
	return err
}

func (d *direct) kill(instance int) error { return d.servers[instance].Close() }

func (d *direct) metrics(context.Context, int) (series, error) {
	return nil, oops.Errorf("the direct route has no control traffic")
}

func (d *direct) close() {
	for _, server := range d.servers {
		_ = server.Close()
	}
}

// chat sends a request to the first engine of the chat's ranking that does not refuse it.
func (d *direct) chat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	key := fleet.ChatKeyOf(fleet.CustomerID(r.Header.Get("Authorization")), r.Header.Get(callersim.ConversationHeader))
	header := http.Header{enginesim.ChatHeader: {strconv.FormatUint(uint64(key), 10)}}
	for _, engine := range d.ranked(d.example.first(kindChat), uint64(key)) {
		response, err := d.send(r.Context(), r.Method, "http://"+d.world.Addrs[engine.Addr]+callersim.ChatPath, header, body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if response.Header.Get(enginesim.NotRunHeader) != "true" {
			pass(w, response)
			return
		}
		_ = response.Body.Close()
	}
	w.Header().Set(callersim.OutcomeHeader, string(callersim.NotRun))
	simutil.WriteError(w, http.StatusServiceUnavailable, "all engines refused")
}

// ranked returns the engines of a service that are not stopped, the key's first choice first.
func (d *direct) ranked(service *Service, key uint64) []*Engine {
	var engines []*Engine
	var candidates []affinity.Candidate
	for _, engine := range service.Engines {
		if !(*d.stopped.Load())[engine.ID] {
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

func (d *direct) send(ctx context.Context, method, url string, header http.Header, body []byte) (*http.Response, error) {
	// The body cannot be repeated, so that net/http does not resend a call by itself.
	r, err := http.NewRequestWithContext(ctx, method, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	r.ContentLength = int64(len(body))
	r.Header = header
	r.Header.Set(enginesim.AttemptHeader, "direct-"+strconv.FormatUint(d.attempt.Add(1), 10))
	return http.DefaultClient.Do(r)
}

// pass copies a response as it comes.
func pass(w http.ResponseWriter, response *http.Response) {
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

// call runs a call once per idempotency key and gives every sender its answer.
func (d *direct) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	key := r.Header.Get(servicesim.KeyHeader)
	c, own := d.claim(key)
	if own {
		// The run goes on when its sender leaves, as its answer may be asked for again.
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

func (d *direct) claim(key string) (c *claimed, own bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c = d.claims[key]; c != nil {
		return c, false
	}
	c = &claimed{ready: make(chan struct{}), status: http.StatusBadGateway}
	d.claims[key] = c
	return c, true
}

func (d *direct) runCall(c *claimed, method, service, path, key string, body []byte) {
	defer close(c.ready)
	for _, s := range d.example.Services {
		if s.ID != service {
			continue
		}
		engine := d.ranked(s, fleet.Hash(key))[0]
		header := http.Header{servicesim.KeyHeader: {key}}
		response, err := d.send(context.Background(), method, "http://"+d.world.Addrs[engine.Addr]+path, header, body)
		if err != nil {
			return
		}
		c.status = response.StatusCode
		c.body, _ = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
}
