//go:build review

package main

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// memoryLimit is memory_mb of kkl-restock, in MiB. The platform kills a process that exceeds it, and starts it again
	// after restartDelay.
	memoryLimit  = 284 << 20
	memoryCheck  = 50 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	// Another writer puts an entry of oddEntryBytes every departedGap. Each entry is removed after three heartbeats, as the
	// store removes entries that are not written again. It lasts for departedTime.
	departedGap  = 250 * time.Millisecond
	departedTime = 105 * time.Second
	// lostLimit is the number of requests that the rule allows to end without an answer.
	lostLimit = 3
)

// kinds are the kinds of request of kkl-restock, with their requests a second and deadlines. Streams begin after half of
// their aim.
var kinds = []struct {
	path      string
	perSecond float64
	deadline  time.Duration
	first     time.Duration
	events    int
}{
	{"/plan/x", 17.8, 12 * time.Second, 400 * time.Millisecond, 55},
	{"/chat/x", 28.4, 10 * time.Second, 200 * time.Millisecond, 42},
	{"/tag/x", 28.5, 3 * time.Second, 250 * time.Millisecond, 3},
	{"/order/x", 18.7, 600 * time.Millisecond, 0, 0},
	{"/stock/x", 8, 600 * time.Millisecond, 0, 0},
}

const (
	poolEngines   = 9
	poolSlots     = 64
	eventInterval = 16 * time.Millisecond
)

// poolEngine is a sound engine of streams. It answers with the first event.
type poolEngine struct {
	id string

	mu      sync.Mutex
	running int
	ran     map[string]bool
}

func (b *bed) startPoolEngine(n int) (*poolEngine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &poolEngine{id: fmt.Sprintf("i-pool-%d", n), ran: make(map[string]bool)}
	entry := map[string]any{"service": "pool", "address": listener.Addr().String(), "zone": zones[n%len(zones)], "version": "v1", "slots": poolSlots,
		"state": "ready", "cold_remaining_ms": 0, "born": time.Now().UnixMilli()}
	go func() {
		for sequence := 1; ; sequence++ {
			entry["sequence"] = sequence
			data, _ := json.Marshal(entry)
			b.store.Put("servers/"+e.id, data)
			time.Sleep(heartbeat)
		}
	}()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e, nil
}

func (e *poolEngine) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("X-Attempt-Id")
		if want := r.Header.Get("X-Expected-Instance"); want != e.id {
			_, err = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nX-Instance-Id: %s\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", e.id, id)
		} else {
			err = e.stream(c, r, id)
		}
		if err != nil {
			return
		}
	}
}

func (e *poolEngine) stream(c net.Conn, r *http.Request, id string) error {
	e.mu.Lock()
	e.ran[id] = true
	e.running++
	load := e.running
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	first, events := time.Duration(0), 0
	for _, k := range kinds {
		if k.path == r.URL.Path {
			first, events = k.first, k.events
		}
	}
	time.Sleep(first)
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s.%s\r\nX-Weight-Versions: 1\r\nX-Instance-Load: %d,0,%d\r\nKeep-Alive: timeout=5\r\n\r\n",
		id, e.id, id, load, poolSlots); err != nil {
		return err
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= events; n++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return err
		}
		time.Sleep(eventInterval)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err
}

// resident returns the resident memory of the process in bytes, or 0 if it has ended.
func (g *gateway) resident() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(data) {
		if f := bytes.Fields(line); len(f) == 3 && string(f[0]) == "VmRSS:" {
			kib, _ := strconv.Atoi(string(f[1]))
			return kib << 10
		}
	}
	return 0
}

// limitMemory kills the process of a gateway that exceeds memoryLimit and starts it again, until stop is closed. It
// returns the number of kills.
func (b *bed) limitMemory(g *gateway, stop <-chan struct{}) int {
	kills := 0
	for nextNote := time.Now(); ; {
		select {
		case <-stop:
			return kills
		case <-time.After(memoryCheck):
		}
		resident := g.resident()
		if time.Now().After(nextNote) {
			b.record.line(time.Now(), "%s has %d MB resident", g.name, resident/1_000_000)
			nextNote = time.Now().Add(5 * time.Second)
		}
		if resident <= memoryLimit {
			continue
		}
		kills++
		g.kill()
		b.note("%s had %d MB resident, over its limit of %d MB, and was killed", g.name, resident/1_000_000, memoryLimit/1_000_000)
		time.Sleep(restartDelay)
		if err := g.start(); err != nil {
			b.note("%s does not start: %v", g.name, err)
			return kills
		}
	}
}

// departedEntries writes entries that can't be read and that lapse again, while clients send what kkl-restock's sheet
// says. It checks that no more than lostLimit requests from kept connections, passed on to engines, end with their
// connection and without an answer.
func departedEntries(b *bed) (bool, error) {
	var engines []*poolEngine
	for n := range poolEngines {
		e, err := b.startPoolEngine(n)
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	for range 4 {
		if _, err := b.addEngine("desk", false); err != nil {
			return false, err
		}
	}
	b.publish(func(tenant int) []string { return []string{fmt.Sprintf("key%d", tenant)} })
	if err := b.startGateways(7); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	kills := make([]int, len(b.gateways))
	var supervisors, clients sync.WaitGroup
	for i, g := range b.gateways {
		supervisors.Go(func() { kills[i] = b.limitMemory(g, stop) })
	}
	end := time.Now().Add(departedTime)
	var answers sync.Map
	for i, k := range kinds {
		clients.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				time.Sleep(time.Duration(mathrand.ExpFloat64() / k.perSecond * float64(time.Second)))
				id := fmt.Sprintf("%s-%d-%d", strings.Split(k.path, "/")[1], i, n)
				prompt := ""
				if k.events > 0 {
					prompt = fmt.Sprintf("%x:600,%x:100", 0xa00+n%20, 0x100000*(i+1)+n)
				}
				g := b.gateways[mathrand.IntN(len(b.gateways))]
				clients.Go(func() {
					answers.Store(id, b.send(g, "POST", k.path, id, fmt.Sprintf("key%d", mathrand.IntN(10)), prompt, k.deadline))
				})
			}
		})
	}
	if b.trouble {
		b.note("another writer puts an entry of %d bytes that can't be read every %v; each is removed after %v", oddEntryBytes, departedGap, 3*heartbeat)
		for n := 0; time.Now().Before(end); n++ {
			value := make([]byte, oddEntryBytes)
			if _, err := rand.Read(value); err != nil {
				return false, err
			}
			key := fmt.Sprintf(oddPrefix+"%06d", n)
			b.store.putOdd(key, value)
			time.AfterFunc(3*heartbeat, func() { b.store.removeOdd(key) })
			time.Sleep(departedGap)
		}
	}
	clients.Wait()
	close(stop)
	supervisors.Wait()
	return b.checkLost(&answers, engines, kills), nil
}

func (b *bed) checkLost(answers *sync.Map, engines []*poolEngine, kills []int) bool {
	ran := b.runs("desk")
	for _, e := range engines {
		e.mu.Lock()
		for id := range e.ran {
			ran[id] = true
		}
		e.mu.Unlock()
	}
	sent, lost, cut := 0, 0, 0
	answers.Range(func(key, value any) bool {
		id, a := key.(string), value.(answer)
		sent++
		switch {
		case !a.kept || !ran[id] || a.timedOut:
		case a.status == 0:
			lost++
			b.record.line(a.sent, "BROKEN %s was passed on and its kept connection was closed without an answer", id)
		case !a.whole:
			cut++
			b.record.line(a.sent, "%s was cut off within its answer", id)
		}
		return true
	})
	b.note("kills for memory by machine: %v", kills)
	b.note("%d requests; LOST: %d from kept connections were passed on to engines and got no answer (%d are allowed); %d more were cut off within their answer",
		sent, lost, lostLimit, cut)
	return lost > lostLimit
}
