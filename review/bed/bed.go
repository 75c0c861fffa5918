//go:build review

// Package bed runs gateways as separate processes against stand-ins of the platform's store and of engines, all on
// loopback addresses, for the scripts of the review. Each script records what was sent, answered and run.
package bed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/standin/simutil"
	"github.com/bilberrywell/bilberrywell/platform/standin"
)

// Exit codes of a script.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Bounds of the deployment kkl-restock that the scripts use.
const (
	StopGrace    = 8 * time.Second
	ConfigApply  = 2 * time.Second
	DrainBound   = 2 * time.Second
	LossSlack    = 200 * time.Millisecond
	StableWindow = 3 * time.Second
	startTimeout = 15 * time.Second
)

// Zones lists the zones of the gateways of a small deployment, one entry for each machine.
var Zones = []string{"z1", "z1", "z2", "z2", "z3", "z3", "z4"}

// Bed holds the store, the engines and the gateways of a run.
type Bed struct {
	Store    *standin.Server
	Gateways []*Gateway
	Engines  []*Engine
	dir      string
	start    time.Time
	stop     chan struct{}

	mu      sync.Mutex
	record  *os.File
	version int
}

// New starts a store. The record is written to the file record.txt in recordDir.
func New(recordDir string) (*Bed, error) {
	record, err := os.Create(filepath.Join(recordDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	store, err := standin.ServeStore("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	store.SetRates(standin.Rates{Writes: 400, Reads: 2000})
	b := &Bed{Store: store, dir: dir, start: time.Now(), record: record, stop: make(chan struct{})}
	go b.closeOnSignal()
	return b, nil
}

// closeOnSignal ends all processes if the script is stopped.
func (b *Bed) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	b.Close()
	os.Exit(NotRun)
}

// Logf writes a line to the record, with the time since the start of the run.
func (b *Bed) Logf(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f s  %s\n", time.Since(b.start).Seconds(), fmt.Sprintf(format, args...))
}

// At returns a time as seconds since the start of the run.
func (b *Bed) At(t time.Time) float64 { return t.Sub(b.start).Seconds() }

// Close ends all processes and stand-ins.
func (b *Bed) Close() {
	close(b.stop)
	for _, g := range b.Gateways {
		g.Kill()
	}
	for _, e := range b.Engines {
		e.Stop()
	}
	_ = b.Store.Close()
	_ = b.record.Close()
	_ = os.RemoveAll(b.dir)
}

// Engine is an engine with an entry in the store. The entry changes only when more than its sequence does.
type Engine struct {
	*standin.Engine
	zone  string
	slots int
	born  int64

	mu       sync.Mutex
	state    string
	sequence int
	// down is set while the engine has no process.
	down bool
}

// AddEngine starts an engine and registers it. The heartbeats that follow would change nothing but the sequence, for which
// the entry does not change.
func (b *Bed) AddEngine(e *standin.Engine, zone string, slots int) (*Engine, error) {
	if err := e.Start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	engine := &Engine{Engine: e, zone: zone, slots: slots, born: time.Now().UnixMilli(), state: "ready"}
	b.Engines = append(b.Engines, engine)
	b.register(engine)
	return engine, nil
}

func (b *Bed) register(e *Engine) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	value, _ := json.Marshal(map[string]any{
		"service": e.Service, "address": e.Addr(), "zone": e.zone, "version": "v1", "slots": e.slots, "state": e.state,
		"cold_remaining_ms": 0, "sequence": e.sequence, "born": e.born,
	})
	b.Store.Put("servers/"+e.ID, value)
}

// Drain writes to the store that an engine leaves and returns when the store has accepted it.
func (b *Bed) Drain(e *Engine) time.Time {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	b.register(e)
	return time.Now()
}

// Route is a route of the configuration. Fields that are not set are left out.
type Route map[string]any

// NewRoute returns a route with the fields that all routes have.
func NewRoute(prefix, kind, service string, timeout time.Duration, attempts int, more Route) Route {
	r := Route{
		"name": "r-" + strings.Trim(prefix, "/"), "host": "h.example", "prefix": prefix, "kind": kind, "timeout_ms": timeout.Milliseconds(),
		"target_latency_ms": 500, "priority": 1, "service": service, "max_attempts": attempts, "allow_anonymous": false, "session_affinity": false,
	}
	for name, value := range more {
		r[name] = value
	}
	return r
}

// Publish writes the next version of the configuration and returns when the store has accepted it.
func (b *Bed) Publish(routes []Route, keys map[string][]string) (version int, acked time.Time) {
	b.version += 3
	services := map[string]bool{}
	var serviceList, tenants []map[string]any
	for _, r := range routes {
		name := r["service"].(string)
		if !services[name] {
			services[name] = true
			serviceList = append(serviceList, map[string]any{"name": name, "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false})
		}
	}
	for tenant, list := range keys {
		tenants = append(tenants, map[string]any{"name": tenant, "api_keys": list, "priority": 1})
	}
	value, _ := json.Marshal(map[string]any{
		"version": b.version, "routes": routes, "services": serviceList, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	b.Store.Put("op/config", value)
	acked = time.Now()
	b.Logf("configuration version %d accepted by the store", b.version)
	return b.version, acked
}

// Gateway is a process of the project.
type Gateway struct {
	Name                                         string
	CallerAddr, readyAddr, peerAddr, metricsAddr string
	settings, log                                string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// AddGateways writes the settings of gateways, as deploy/settings.yaml.tmpl renders them, and starts them.
func (b *Bed) AddGateways() error {
	var peers []string
	for i, zone := range Zones {
		addrs, err := simutil.FreeAddrs(4)
		if err != nil {
			return err
		}
		g := &Gateway{Name: fmt.Sprintf("front-%s-%d", zone, i+1), CallerAddr: addrs[0], readyAddr: addrs[1], peerAddr: addrs[2], metricsAddr: addrs[3]}
		g.settings, g.log = filepath.Join(b.dir, g.Name+".yaml"), filepath.Join(b.dir, g.Name+".log")
		b.Gateways = append(b.Gateways, g)
		if len(peers) < 3 {
			peers = append(peers, fmt.Sprintf("%q", g.peerAddr))
		}
	}
	for i, g := range b.Gateways {
		text := fmt.Sprintf("instance: %q\ndata_centre: %q\nregion: \"r1\"\ncaller_addr: %q\nready_addr: %q\npeer_addr: %q\nmetrics_addr: %s\nstore_addr: %q\n"+
			"seeds: [%s]\nstop_grace: 8s\nretry_ratio: 0.2\nretry_reserve: 54\nretry_window: 10s\nload_limit: 2\n",
			g.Name, Zones[i], g.CallerAddr, g.readyAddr, g.peerAddr, g.metricsAddr, b.Store.Addr, strings.Join(peers, ","))
		if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := g.Start(); err != nil {
			return err
		}
	}
	for _, g := range b.Gateways {
		if !g.AwaitReady() {
			return errors.New(g.Name + " is not ready")
		}
	}
	return nil
}

// Start starts the process with the command of the deploy file.
func (g *Gateway) Start() error {
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/bilberrywelld", "-gateway", g.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.exited = cmd, exited
	g.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// AwaitReady waits until the process answers the readiness check with 200.
func (g *Gateway) AwaitReady() bool {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if g.Ready() {
			return true
		}
	}
	return false
}

// Ready asks once whether the process is ready.
func (g *Gateway) Ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	return get(ctx, "http://"+g.readyAddr+"/api/readiness") != ""
}

// Watching reports whether the process says in its metrics that it reads changes from the store.
func (g *Gateway) Watching() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return strings.Contains(get(ctx, "http://"+g.metricsAddr+"/metrics"), "bilberry_watching_store 1")
}

// get returns the body of a response with status 200, or "ok" if it is empty, and an empty text otherwise.
func get(ctx context.Context, url string) string {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return ""
	}
	res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return ""
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return ""
	}
	var text strings.Builder
	buffer := make([]byte, 4096)
	for {
		n, err := res.Body.Read(buffer)
		text.Write(buffer[:n])
		if err != nil {
			break
		}
	}
	if text.Len() == 0 {
		return "ok"
	}
	return text.String()
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil && g.cmd.Process != nil {
		_ = g.cmd.Process.Signal(s)
	}
}

// Kill ends the process and waits for its end.
func (g *Gateway) Kill() {
	g.Signal(syscall.SIGKILL)
	g.AwaitExit(5 * time.Second)
}

// AwaitExit waits until the process has ended, and kills it after limit.
func (g *Gateway) AwaitExit(limit time.Duration) {
	g.mu.Lock()
	exited := g.exited
	g.mu.Unlock()
	if exited == nil {
		return
	}
	select {
	case <-exited:
	case <-time.After(limit):
		g.Signal(syscall.SIGKILL)
		<-exited
	}
}

// Crash ends an engine, as a failure of its machine does, and removes its entry after three heartbeats of silence.
func (b *Bed) Crash(e *Engine) {
	e.Stop()
	time.AfterFunc(3*heartbeatInterval, func() {
		select {
		case <-b.stop:
		default:
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.down {
				b.Store.Delete("servers/" + e.ID)
			}
		}
	})
	e.mu.Lock()
	e.down = true
	e.mu.Unlock()
}

// Restart starts an engine that has ended again at its address, as a new process with the same id.
func (b *Bed) Restart(e *Engine) error {
	if err := e.Start(e.Addr()); err != nil {
		return err
	}
	e.mu.Lock()
	e.down, e.born = false, time.Now().UnixMilli()
	e.mu.Unlock()
	b.register(e)
	return nil
}

// heartbeatInterval is the time between two heartbeats of an engine.
const heartbeatInterval = 1200 * time.Millisecond
