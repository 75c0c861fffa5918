//go:build review

// Command review-4 takes the power from three of seven machines at once, those that read the store for the fleet, and
// then takes an API key away. It reports requests with that key that the other machines still let an engine run later
// than config_apply_ms after the store has accepted the change.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/bilberrywell/bilberrywell/platform/standin"
	"github.com/bilberrywell/bilberrywell/review/bed"
)

const (
	// darkTime is how long the machines have no power, within the 4.5 s of the site file's engines and the 4 s of its frozen
	// machines.
	darkTime = 3500 * time.Millisecond
	// ackAfter is the time from the loss of power until the change is written.
	ackAfter = 100 * time.Millisecond
	// probeInterval is the time between two requests of the caller of one machine.
	probeInterval = 50 * time.Millisecond
	rounds        = 3
	// recordedTime is the time after a change whose requests are written to the record.
	recordedTime = 4 * time.Second
	machines     = 3
)

// outcome is a request and what its caller saw.
type outcome struct {
	id, machine, key string
	sent             time.Time
	status           int
}

// revocation is a key that was taken away, and the machines that were undisturbed.
type revocation struct {
	key         string
	acked       time.Time
	version     int
	undisturbed map[string]bool
}

func main() {
	code, err := run(os.Args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println("could not run:", err)
		code = bed.NotRun
	}
	os.Exit(code)
}

func run(dir string, trouble bool) (int, error) {
	b, err := bed.New(dir)
	if err != nil {
		return bed.NotRun, err
	}
	defer b.Close()
	for i := range 4 {
		e := &standin.Engine{ID: fmt.Sprintf("i-desk%d", i), Service: "desk", WorkTime: 15 * time.Millisecond}
		if _, err := b.AddEngine(e, bed.Zones[2*i], 6); err != nil {
			return bed.NotRun, err
		}
	}
	routes := []bed.Route{bed.NewRoute("/order/", "non_idempotent", "desk", 600*time.Millisecond, 1, nil)}
	keys := []string{"key-0", "key-1", "key-2", "key-3"}
	b.Publish(routes, map[string][]string{"t1": keys})
	if err := b.AddGateways(); err != nil {
		return bed.NotRun, err
	}
	c := &callers{b: b, stop: make(chan struct{})}
	c.setKey(keys[0])
	for _, g := range b.Gateways {
		c.tasks.Go(func() { c.run(g) })
	}
	time.Sleep(2 * bed.StableWindow)

	var revocations []revocation
	for round := range rounds {
		c.setKey(keys[round])
		time.Sleep(500 * time.Millisecond)
		dark := readers(b, trouble)
		if trouble && len(dark) != machines {
			return bed.NotRun, fmt.Errorf("%d machines read the store, want %d", len(dark), machines)
		}
		for _, g := range dark {
			g.Signal(syscall.SIGSTOP)
			b.Logf("%s has no power", g.Name)
		}
		from := time.Now()
		time.Sleep(ackAfter)
		r := revocation{key: keys[round], undisturbed: map[string]bool{}}
		r.version, r.acked = b.Publish(routes, map[string][]string{"t1": keys[round+1:]})
		b.Logf("%s was taken away with version %d", r.key, r.version)
		for _, g := range b.Gateways {
			r.undisturbed[g.Name] = true
		}
		for _, g := range dark {
			delete(r.undisturbed, g.Name)
		}
		revocations = append(revocations, r)
		time.Sleep(time.Until(from.Add(darkTime)))
		// A machine that lost power has forgotten everything.
		for _, g := range dark {
			g.Kill()
			if err := g.Start(); err != nil {
				return bed.NotRun, err
			}
			b.Logf("%s is started again", g.Name)
		}
		for _, g := range b.Gateways {
			if !g.AwaitReady() {
				return bed.NotRun, fmt.Errorf("%s is not ready", g.Name)
			}
		}
		time.Sleep(2 * bed.StableWindow)
	}
	close(c.stop)
	c.tasks.Wait()
	return judge(b, c.outcomes, revocations), nil
}

// readers returns the machines that read the store for the fleet.
func readers(b *bed.Bed, trouble bool) []*bed.Gateway {
	var list []*bed.Gateway
	for _, g := range b.Gateways {
		if trouble && g.Watching() {
			list = append(list, g)
		}
	}
	return list
}

// callers sends requests to each machine, all with the same key.
type callers struct {
	b     *bed.Bed
	stop  chan struct{}
	tasks sync.WaitGroup

	mu       sync.Mutex
	key      string
	outcomes []outcome
}

func (c *callers) setKey(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.key = key
}

func (c *callers) run(g *bed.Gateway) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 600 * time.Millisecond}
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.stop:
			return
		case <-ticker.C:
		}
		c.mu.Lock()
		o := outcome{id: fmt.Sprintf("%016x", rand.Uint64()), machine: g.Name, key: c.key}
		c.mu.Unlock()
		request, err := http.NewRequest(http.MethodPost, "http://"+g.CallerAddr+"/order/x", strings.NewReader("order"))
		if err != nil {
			return
		}
		request.GetBody = nil
		request.Host = "h.example"
		request.Header.Set("X-Attempt-Id", o.id)
		request.Header.Set("X-Credential", o.key)
		request.Header.Set("X-Deadline-Milliseconds", "600")
		o.sent = time.Now()
		if res, err := client.Do(request); err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
			o.status = res.StatusCode
		}
		c.mu.Lock()
		c.outcomes = append(c.outcomes, o)
		c.mu.Unlock()
	}
}

// judge records what was sent, answered and run around the changes, and applies the rule CONFIG.
func judge(b *bed.Bed, outcomes []outcome, revocations []revocation) int {
	runs := map[string]time.Time{}
	for _, e := range b.Engines {
		for _, r := range e.Runs() {
			runs[r.Attempt] = r.StartedAt
		}
	}
	code, served := bed.Held, 0
	for _, r := range revocations {
		late := map[string]int{}
		for _, o := range outcomes {
			startedAt, ran := runs[o.id]
			if o.key != r.key {
				continue
			}
			if ran {
				served++
			}
			if o.sent.Before(r.acked) || o.sent.Sub(r.acked) > recordedTime {
				continue
			}
			text := "not run"
			if ran {
				text = fmt.Sprintf("run from %.3f s", b.At(startedAt))
			}
			b.Logf("%s: %s sent to %s %.3f s after version %d was accepted, answered %d, %s", o.id, o.key, o.machine, o.sent.Sub(r.acked).Seconds(), r.version, o.status, text)
			if ran && r.undisturbed[o.machine] && o.sent.Sub(r.acked) > bed.ConfigApply {
				late[o.machine]++
				code = bed.Broken
			}
		}
		for machine, n := range late {
			b.Logf("CONFIG is broken: %s let %d requests with %s run that were sent later than %.1f s after version %d was accepted", machine, n, r.key, bed.ConfigApply.Seconds(), r.version)
		}
	}
	if served == 0 {
		b.Logf("no request was served")
		return bed.NotRun
	}
	b.Logf("%d requests sent, %d run before or after the changes, exit %d", len(outcomes), len(runs), code)
	return code
}
