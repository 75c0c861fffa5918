//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/standin/simutil"
	"github.com/bilberrywell/bilberrywell/platform/standin"
)

const (
	// gatewayBinary is where the build line of the deploy file puts the program.
	gatewayBinary = "target/bilberrywelld"
	// heartbeat is the interval of the engines' entries in the store; an entry ends after three of them.
	heartbeat = 1200 * time.Millisecond
	host      = "ficu95.example"
)

// smallContracts are those of kkl-restock.
const smallContracts = `["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]`

// bed is a small deployment: a store, engines and gateways.
type bed struct {
	record  *record
	trouble bool
	dir     string
	store   *storeServer

	engines  []*engine
	gateways []*gateway
	version  int
	// idleRoutes is the number of routes without requests, configBytes the size of the last configuration.
	idleRoutes, configBytes int
	// orderTimeout is the timeout of the route of orders.
	orderTimeout time.Duration
	// contracts lists the parts of the platform's rules that are in force.
	contracts string
}

// newBed starts the store. Its record goes to a file.
func newBed(recordPath string, trouble bool) (*bed, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "bed-2-")
	if err != nil {
		return nil, err
	}
	store, err := serveStore()
	if err != nil {
		return nil, err
	}
	return &bed{record: &record{file: file, start: time.Now()}, trouble: trouble, dir: dir, store: store, contracts: smallContracts, orderTimeout: 600 * time.Millisecond, idleRoutes: 110}, nil
}

// close ends all processes and removes the temporary folder.
func (b *bed) close() {
	for _, g := range b.gateways {
		g.kill()
	}
	for _, e := range b.engines {
		e.crash()
	}
	b.store.close()
	_ = os.RemoveAll(b.dir)
	_ = b.record.file.Close()
}

// engine is an engine of a service at one address. Each start has a new id.
type engine struct {
	bed     *bed
	service string
	streams bool
	number  int

	mu      sync.Mutex
	current *standin.Engine
	addr    string
	starts  int
	stop    chan struct{}
}

func (b *bed) addEngine(service string, streams bool) (*engine, error) {
	e := &engine{bed: b, service: service, streams: streams, number: len(b.engines), addr: "127.0.0.1:0"}
	b.engines = append(b.engines, e)
	return e, e.start()
}

// start starts a new incarnation of the engine and its heartbeats.
func (e *engine) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	id := fmt.Sprintf("i-%s-%d-%d", e.service, e.number, e.starts)
	s := &standin.Engine{ID: id, Service: e.service, Streams: e.streams, DataCentre: zones[e.number%len(zones)]}
	if e.streams {
		s.Events, s.EventInterval = 55, 16*time.Millisecond
	} else {
		s.WorkTime = 15 * time.Millisecond
	}
	if err := s.Start(e.addr); err != nil {
		return err
	}
	e.current, e.addr, e.stop = s, s.Addr(), make(chan struct{})
	go e.beat(s, e.stop)
	return nil
}

// beat writes the engine's entry until stop is closed, and removes it three intervals later, as it lapses.
func (e *engine) beat(s *standin.Engine, stop chan struct{}) {
	key, value := s.Registration()
	for sequence := 1; ; sequence++ {
		var entry map[string]any
		if json.Unmarshal(value, &entry) != nil {
			return
		}
		entry["sequence"], entry["version"], entry["cold_remaining_ms"], entry["slots"] = sequence, "v1", 0, 64
		data, _ := json.Marshal(entry)
		e.bed.store.Put(key, data)
		select {
		case <-stop:
			time.Sleep(2 * heartbeat)
			e.bed.store.Delete(key)
			return
		case <-time.After(heartbeat):
		}
	}
}

// crash ends the engine without a word: its connections are reset.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current == nil {
		return
	}
	close(e.stop)
	e.current.Stop()
	e.current = nil
}

var zones = []string{"sapporo-a", "asahikawa-b", "hakodate-c", "kushiro-d"}

// gateway is a process of the deploy file. It keeps its addresses when it is started again.
type gateway struct {
	bed                                   *bed
	name                                  string
	caller, ready, peer, metrics, logPath string
	settingsPath                          string
	cmd                                   *exec.Cmd
	exited                                chan struct{}
}

// startGateways starts n gateways with settings as the template of the deploy file renders them.
func (b *bed) startGateways(n int) error {
	addrs, err := simutil.FreeAddrs(4 * n)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, addrs[4*i+2])
	}
	for i := range n {
		a := addrs[4*i : 4*i+4]
		g := &gateway{bed: b, name: fmt.Sprintf("front-%d", i+1), caller: a[0], ready: a[1], peer: a[2], metrics: a[3]}
		g.settingsPath, g.logPath = filepath.Join(b.dir, g.name+".yaml"), filepath.Join(b.dir, g.name+".log")
		if err := os.WriteFile(g.settingsPath, []byte(g.settings(zones[i%len(zones)], seeds)), 0o600); err != nil {
			return err
		}
		b.gateways = append(b.gateways, g)
	}
	for _, g := range b.gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	return b.awaitReady()
}

// settings renders deploy/settings.yaml.tmpl with the bounds of kkl-restock.
func (g *gateway) settings(zone string, seeds []string) string {
	list, _ := json.Marshal(seeds)
	return fmt.Sprintf(`instance: %q
data_centre: %q
region: "hokkaido"
caller_addr: %q
ready_addr: %q
peer_addr: %q
metrics_addr: %s
store_addr: %q
seeds: %s
stop_grace: 8s
retry_ratio: 0.2
retry_reserve: 54
retry_window: 10s
load_limit: 2
contracts: %s
warm_up_overshoot: 
warm_up_slack: 
`, g.name, zone, g.caller, g.ready, g.peer, g.metrics, g.bed.store.Addr, list, g.bed.contracts)
}

func (g *gateway) start() error {
	log, err := os.OpenFile(g.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(gatewayBinary, "-gateway", g.settingsPath)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.cmd, g.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

func (g *gateway) signal(s syscall.Signal) { _ = g.cmd.Process.Signal(s) }

// kill sends SIGKILL and waits for the end of the process.
func (g *gateway) kill() {
	if g.cmd != nil {
		g.signal(syscall.SIGKILL)
		<-g.exited
	}
}

func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + g.ready + "/api/readiness")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (b *bed) awaitReady() error {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, g := range b.gateways {
			if g.isReady() {
				ready++
			}
		}
		if ready == len(b.gateways) {
			return nil
		}
	}
	return fmt.Errorf("the gateways are not ready")
}

// publish writes the next configuration and returns when the store has acknowledged it. Each tenant has the keys
// that keys returns.
func (b *bed) publish(keys func(tenant int) []string) time.Time {
	b.version += 3
	route := func(prefix, kind, service string, extra map[string]any) map[string]any {
		r := map[string]any{"name": strings.Trim(prefix, "/"), "host": host, "prefix": prefix, "kind": kind, "service": service,
			"timeout_ms": 600, "target_latency_ms": 100, "priority": 2, "max_attempts": 1}
		for k, v := range extra {
			r[k] = v
		}
		return r
	}
	stream := func(target, timeout, priority, attempts int, resume bool) map[string]any {
		return map[string]any{"timeout_ms": timeout, "target_latency_ms": target, "target_gap_ms": 400, "priority": priority,
			"max_attempts": attempts, "session_affinity": true, "stream_resumption": resume}
	}
	routes := []any{
		route("/plan/", "streaming", "pool", stream(800, 12000, 1, 1, false)),
		route("/chat/", "streaming", "pool", stream(400, 10000, 0, 2, true)),
		route("/tag/", "streaming", "pool", stream(500, 3000, 2, 1, false)),
		route("/order/", "non_idempotent", "desk", map[string]any{"timeout_ms": b.orderTimeout.Milliseconds()}),
		route("/stock/", "idempotent", "desk", map[string]any{"max_attempts": 2}),
	}
	for i := range b.idleRoutes {
		routes = append(routes, route(fmt.Sprintf("/idle%05d/", i), "idempotent", "desk", nil))
	}
	var tenants []any
	for i := range 10 {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("tenant%d", i), "api_keys": keys(i)})
	}
	value, _ := json.Marshal(map[string]any{
		"version": b.version, "routes": routes, "tenants": tenants,
		"services": []any{
			map[string]any{"name": "pool", "max_connections": 360, "health_path": "/health", "engine": map[string]any{"kv_cache_tokens": 618160}},
			map[string]any{"name": "desk", "max_connections": 100, "health_path": "/health"},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
	})
	b.configBytes = len(value)
	b.store.Put("op/config", value)
	return time.Now()
}

// answer is what a client saw of one request.
type answer struct {
	sent   time.Time
	status int
	// signed reports whether the answer bears an engine's signature, whole whether it was not cut off.
	signed, whole bool
	// kept reports whether the request went on a connection that had carried another one, timedOut whether the client
	// gave up at its deadline.
	kept, timedOut bool
}

// served reports whether the request was answered with success.
func (a answer) served() bool { return a.status == http.StatusOK && a.signed && a.whole }

// clientConns keeps connections open like the platform's clients.
var clientConns = &http.Transport{
	MaxIdleConnsPerHost: 64, IdleConnTimeout: 4 * time.Second, DisableCompression: true,
	DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
}

// send sends one request and records it with its answer.
func (b *bed) send(g *gateway, method, path, id, key, prompt string, deadline time.Duration) answer {
	body := ""
	if method == http.MethodPost {
		body = strings.Repeat("b", 600)
	}
	r, err := http.NewRequest(method, "http://"+g.caller+path, strings.NewReader(body))
	if err != nil {
		return answer{}
	}
	// Without GetBody, net/http can't send the request again by itself.
	r.GetBody = nil
	r.Host = host
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Credential", key)
	r.Header.Set("X-Deadline-Milliseconds", fmt.Sprint(deadline.Milliseconds()))
	if prompt != "" {
		r.Header.Set("X-Model", "m")
		r.Header.Set("X-Prompt-Prefix", prompt)
	}
	a := answer{sent: time.Now()}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { a.kept = c.Reused }}))
	client := http.Client{Transport: clientConns, Timeout: deadline}
	res, err := client.Do(r)
	if err == nil {
		_, readErr := io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		a.timedOut = os.IsTimeout(readErr)
		a.status, a.signed, a.whole = res.StatusCode, res.Header.Get("X-Response-Signature") != "", readErr == nil
	} else {
		a.timedOut = os.IsTimeout(err)
	}
	b.record.line(a.sent, "%s %s %s key %s sent to %s: status %d signed %t whole %t after %d ms", id, method, path, key, g.name,
		a.status, a.signed, a.whole, time.Since(a.sent).Milliseconds())
	return a
}

// runs returns the ids of the requests that the engines of a service have run.
func (b *bed) runs(service string) map[string]bool {
	ids := make(map[string]bool)
	for _, e := range b.engines {
		e.mu.Lock()
		s := e.current
		e.mu.Unlock()
		if e.service != service || s == nil {
			continue
		}
		for _, r := range s.Runs() {
			ids[r.Attempt] = true
		}
	}
	return ids
}
