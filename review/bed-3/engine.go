//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// engine is a sound model engine that writes streams of events. Each event names the engine and the version of its software.
type engine struct {
	id, service, version, zone string
	// events is the number of events of a stream, interval the time between them.
	events   int
	interval time.Duration
	// lag is the time from the start to the first entry.
	lag time.Duration

	bed  *bed
	addr string

	mu       sync.Mutex
	server   *http.Server
	ended    chan struct{}
	born     int64
	sequence int
	running  int
}

// start begins to serve at the engine's address, and writes its entry at once and at each heartbeat.
func (e *engine) start() error {
	// The address may still be in use for a moment by the process before.
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", e.addr); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	e.ended = make(chan struct{})
	e.born, e.sequence, e.running = time.Now().UnixMilli(), 0, 0
	go func(s *http.Server) { _ = s.Serve(l) }(e.server)
	go e.beat(e.ended, e.lag)
	return nil
}

// stop ends the engine's process: its listener and its connections close.
func (e *engine) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil {
		return
	}
	close(e.ended)
	_ = e.server.Close()
	e.server = nil
}

func (e *engine) beat(ended chan struct{}, lag time.Duration) {
	select {
	case <-time.After(lag):
	case <-ended:
		return
	}
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		e.writeEntry("ready")
		select {
		case <-ticker.C:
		case <-ended:
			return
		}
	}
}

// writeEntry writes the engine's entry, unless the store is away.
func (e *engine) writeEntry(state string) {
	if e.bed.away() {
		return
	}
	e.mu.Lock()
	e.sequence++
	entry := map[string]any{
		"service": e.service, "address": e.addr, "zone": e.zone, "version": e.version, "slots": 64, "state": state,
		"cold_remaining_ms": 0, "sequence": e.sequence, "born": e.born,
	}
	first := e.sequence == 1
	e.mu.Unlock()
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	e.bed.store.Put("servers/"+e.id, value)
	if first {
		e.bed.logf("engine %s of version %s writes its first entry", e.id, e.version)
	}
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	e.running++
	running, version := e.running, e.version
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.bed.logf("engine %s v%s runs %s after event %d (%d bytes)", e.id, version, attempt, last, len(body))
	w.Header().Set("X-Response-Signature", e.id+"."+attempt)
	w.Header().Set("X-Instance-Load", fmt.Sprintf("%d,0,64", running))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for n := last + 1; n <= e.events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s v%s %d\n\n", n, e.id, version, n); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(e.interval):
		case <-r.Context().Done():
			return
		}
	}
}
