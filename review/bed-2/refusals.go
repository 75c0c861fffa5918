//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// deskEngines is the number of engines of the service, and faultyEngines how many of them send extra answers: 0.5.
	deskEngines, faultyEngines = 2, 1
	// extraShare is the share of their answers of which they send a second copy, for extraTime in every extraPeriod. They
	// copy rejections only.
	extraShare  = 0.03
	extraTime   = 5 * time.Second
	extraPeriod = 6 * time.Second
	deskSlots   = 6
	deskWork    = 60 * time.Millisecond
	// orderDeadline is that of post-entry on mwakyusa-ledgers-grown.
	orderDeadline = 2500 * time.Millisecond
	// Most clients are at busyGateways of the seven gateways, with busyPerSecond requests in all that may run at most
	// once. At each of the others a client sends one after the other, with a pause of calmPause. It lasts for orderTime.
	busyGateways  = 2
	busyPerSecond = 220
	calmPause     = 50 * time.Millisecond
	orderTime     = 110 * time.Second
)

// desk is an engine without streams that rejects what exceeds its slots. If it is faulty, it sends some rejections a
// second time: late, at the point where the next answer on the connection is expected. The copy bears the id of the
// rejected request.
type desk struct {
	bed      *bed
	id       string
	faulty   bool
	listener net.Listener

	mu      sync.Mutex
	running int
	ran     map[string]int
	// answers counts the answers in the times of extra answers, planned the copies that were or will be sent.
	answers, planned int
	extras           int
	matched          int
}

func (b *bed) startDesk(n int) (*desk, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &desk{bed: b, id: fmt.Sprintf("i-desk-%d", n), faulty: b.trouble && n < faultyEngines, listener: listener, ran: make(map[string]int)}
	entry := map[string]any{"service": "desk", "address": listener.Addr().String(), "zone": zones[n%len(zones)], "version": "v1", "slots": deskSlots,
		"state": "ready", "cold_remaining_ms": 0, "born": time.Now().UnixMilli()}
	go func() {
		for sequence := 1; ; sequence++ {
			entry["sequence"] = sequence
			data, _ := json.Marshal(entry)
			b.store.Put("servers/"+d.id, data)
			time.Sleep(heartbeat)
		}
	}()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return d, nil
}

func (d *desk) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader, extra, extraID := bufio.NewReader(c), "", ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("X-Attempt-Id")
		if want := r.Header.Get("X-Expected-Instance"); want != d.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", d.id, id)
			continue
		}
		if extra != "" {
			d.bed.record.line(time.Now(), "%s sends the rejection of %s again, before its answer to %s", d.id, extraID, id)
			if _, err := io.WriteString(c, extra); err != nil {
				return
			}
			d.mu.Lock()
			d.extras++
			if extraID == id {
				d.matched++
			}
			d.mu.Unlock()
			extra = ""
		}
		if !d.begin(id) {
			rejection := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Attempt-Id: %s\r\nX-Instance-Load: %d,0,%d\r\nKeep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\nfull", id, deskSlots, deskSlots)
			if _, err := io.WriteString(c, rejection); err != nil {
				return
			}
			if d.countAnswer(true) {
				extra, extraID = rejection, id
			}
			continue
		}
		time.Sleep(deskWork)
		load := d.end()
		d.countAnswer(false)
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s.%s\r\nX-Instance-Load: %d,0,%d\r\nKeep-Alive: timeout=5\r\nContent-Length: 5\r\n\r\norder",
			id, d.id, id, load, deskSlots); err != nil {
			return
		}
	}
}

// begin begins to run a request, or returns false if all slots are taken.
func (d *desk) begin(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running >= deskSlots {
		d.bed.record.line(time.Now(), "%s rejects %s", d.id, id)
		return false
	}
	d.running++
	d.ran[id]++
	d.bed.record.line(time.Now(), "%s runs %s", d.id, id)
	return true
}

func (d *desk) end() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running--
	return d.running
}

// countAnswer counts an answer and reports whether a copy of it is to be sent.
func (d *desk) countAnswer(rejection bool) bool {
	if !d.faulty || time.Since(d.bed.record.start)%extraPeriod >= extraTime {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answers++
	if !rejection || float64(d.planned+1) > extraShare*float64(d.answers) {
		return false
	}
	d.planned++
	return true
}

// repeatedRefusals sends orders, which may run at most once, to a service that is at times full. It checks that none runs
// twice, and that none that was answered 503 has run.
func repeatedRefusals(b *bed) (bool, error) {
	b.contracts = `["base","drain","config","cost","retry","recover","health","pool","engine","stream","tenants","places","pressure","platform"]`
	b.orderTimeout = orderDeadline
	var desks []*desk
	for n := range deskEngines {
		d, err := b.startDesk(n)
		if err != nil {
			return false, err
		}
		desks = append(desks, d)
	}
	b.publish(func(tenant int) []string { return []string{fmt.Sprintf("key%d", tenant)} })
	if err := b.startGateways(7); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	start := time.Now()
	var answers sync.Map
	var clients sync.WaitGroup
	order := func(g *gateway, id string) {
		answers.Store(id, b.send(g, "POST", "/order/x", id, fmt.Sprintf("key%d", rand.IntN(10)), "", orderDeadline))
	}
	for i, g := range b.gateways[busyGateways:] {
		clients.Go(func() {
			for n := 0; time.Since(start) < orderTime; n++ {
				order(g, fmt.Sprintf("calm-%d-%d", i, n))
				time.Sleep(calmPause)
			}
		})
	}
	for n := 0; time.Since(start) < orderTime; n++ {
		clients.Go(func() { order(b.gateways[n%busyGateways], fmt.Sprintf("busy-%d", n)) })
		time.Sleep(time.Duration(rand.ExpFloat64() / busyPerSecond * float64(time.Second)))
	}
	clients.Wait()
	return b.checkOrders(&answers, desks), nil
}

func (b *bed) checkOrders(answers *sync.Map, desks []*desk) bool {
	runs, extras, matched := make(map[string]int), 0, 0
	for _, d := range desks {
		d.mu.Lock()
		for id, n := range d.ran {
			runs[id] += n
		}
		extras, matched = extras+d.extras, matched+d.matched
		d.mu.Unlock()
	}
	asked, refused, twice, refusedAndRan := 0, 0, 0, 0
	answers.Range(func(key, value any) bool {
		id, a := key.(string), value.(answer)
		asked++
		if a.status == 503 || a.status == 429 {
			refused++
			if runs[id] > 0 {
				refusedAndRan++
				b.record.line(a.sent, "BROKEN %s was answered %d and has run", id, a.status)
			}
		}
		if runs[id] > 1 {
			twice++
			b.record.line(a.sent, "BROKEN %s ran %d times", id, runs[id])
		}
		return true
	})
	b.note("%d orders, %d refused; %d extra answers, %d of them before the answer to the same order; TWICE: %d ran more than once; REFUSED: %d were refused and ran",
		asked, refused, extras, matched, twice, refusedAndRan)
	return twice+refusedAndRan > 0
}
