//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/standin/simutil"
)

func init() { cases["unread"] = playUnread }

// The streams of this case have 160 events, the most of a small deployment's site file. Their bytes fill the buffers between the gateway
// and a client that does not read.
const (
	unreadEvents   = 160
	unreadBytes    = 2000
	unreadInterval = 20 * time.Millisecond
	// unreadPause is how long a client reads nothing. Clients abandon a stream after eight times the route's target gap, 4.8 s here.
	unreadPause = 4400 * time.Millisecond
	// crashAt is when the engine crashes, after the beginning of the streams, and backAfter how long it is down.
	crashAt   = 2900 * time.Millisecond
	backAfter = time.Second
	// engineIdleTimeout is how long the engine keeps a connection without a request. Its Keep-Alive header states it.
	engineIdleTimeout = 2 * time.Second
)

// runEngineProcess serves as an engine process of its own: its streams have neither a length nor chunks and end with their connection.
func runEngineProcess(addr, id string) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		fmt.Println(err)
		os.Exit(notPlayed)
	}
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go serveUnframed(c, id)
	}
}

func serveUnframed(c net.Conn, id string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(engineIdleTimeout))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		attempt := r.Header.Get("X-Attempt-Id")
		if want := r.Header.Get("X-Expected-Instance"); want != "" && want != id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nKeep-Alive: timeout=2\r\nContent-Length: 0\r\n\r\n", attempt, id)
			continue
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s.%s\r\nKeep-Alive: timeout=2\r\nConnection: close\r\n\r\n", attempt, id, attempt)
		for n := 1; n <= unreadEvents; n++ {
			text := fmt.Sprintf("id: %d\ndata: ", n)
			if _, err := io.WriteString(c, text+strings.Repeat("x", unreadBytes-len(text)-2)+"\n\n"); err != nil {
				return
			}
			time.Sleep(unreadInterval)
		}
		return
	}
}

// engineFlags makes a process of this program an engine.
var engineAddr, engineID = flag.String("engine", "", "serve as an engine at this address"), flag.String("id", "", "id of the engine")

// slowResult is what a client that reads slowly got.
type slowResult struct {
	status, events int
	// whole is set if the answer has ended as a complete one.
	whole bool
	err   error
}

// readSlowly requests a stream, reads its first event, reads nothing for a time, and then the rest.
func readSlowly(addr, attempt string, pause time.Duration) (r slowResult) {
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			// A small receive buffer and small segments, so that a client that does not read blocks the writer, as on the platform's links.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1460)
		})
	}}
	c, err := dialer.Dial("tcp", addr)
	if err != nil {
		return slowResult{err: err}
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /chat/1 HTTP/1.1\r\nHost: depot.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Milliseconds: 12000\r\nX-Credential: key-1\r\nContent-Length: 6\r\n\r\nprompt", attempt)
	reader := bufio.NewReaderSize(c, 512)
	res, err := http.ReadResponse(reader, nil)
	if err != nil {
		return slowResult{err: err}
	}
	r.status = res.StatusCode
	body := bufio.NewReaderSize(res.Body, 512)
	paused := false
	for {
		line, err := body.ReadString('\n')
		if strings.HasPrefix(line, "id: ") {
			r.events, _ = strconv.Atoi(strings.TrimSpace(line[len("id: "):]))
		}
		if err != nil {
			r.whole, r.err = err == io.EOF, err
			return r
		}
		if line == "\n" && !paused {
			paused = true
			time.Sleep(pause)
		}
	}
}

// playUnread: clients read slowly, and an engine whose answers have neither a length nor chunks crashes and is back after a second.
func playUnread(b *bed, daemon, dir string) (int, error) {
	config := chatConfig(7)
	config["routes"].([]map[string]any)[0]["stream_resumption"] = false
	config["routes"].([]map[string]any)[0]["timeout_ms"] = 12000
	config["routes"].([]map[string]any)[0]["target_latency_ms"] = 800
	config["routes"].([]map[string]any)[0]["target_gap_ms"] = 600
	b.publish(config)
	addrs, err := simutil.FreeAddrs(1)
	if err != nil {
		return notPlayed, err
	}
	start := func() (*exec.Cmd, error) {
		cmd := exec.Command(os.Args[0], "-engine", addrs[0], "-id", "engine-1")
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		return cmd, cmd.Start()
	}
	process, err := start()
	if err != nil {
		return notPlayed, err
	}
	defer func() { _ = process.Process.Kill(); _ = process.Wait() }()
	born, beats := time.Now().UnixMilli(), make(chan struct{})
	defer close(beats)
	var mu sync.Mutex
	up, sequence := true, 0
	writeEntry := func() {
		mu.Lock()
		defer mu.Unlock()
		if !up {
			return
		}
		sequence++
		value, _ := json.Marshal(map[string]any{"service": "pool", "address": addrs[0], "zone": "z1", "version": "1.4.0", "slots": 64, "state": "ready",
			"cold_remaining_ms": 0, "sequence": sequence, "born": born})
		b.store.Put("servers/engine-1", value)
	}
	go func() {
		for {
			writeEntry()
			select {
			case <-time.After(heartbeat):
			case <-beats:
				return
			}
		}
	}()
	if err := b.startGateways(daemon, dir, 2); err != nil {
		return notPlayed, err
	}
	time.Sleep(time.Second)
	b.began = time.Now()
	const clients = 8
	results := make([]slowResult, clients)
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			attempt := fmt.Sprintf("%08x", 0x20000000+i)
			results[i] = readSlowly(b.gateways[i%2].CallerAddr, attempt, unreadPause)
			r := results[i]
			b.logf("client %s: status %d, last event %d of %d, ended as a complete answer: %t (%v)", attempt, r.status, r.events, unreadEvents, r.whole, r.err)
		})
	}
	if b.trouble != "0" {
		b.at(crashAt)
		mu.Lock()
		up = false
		mu.Unlock()
		_ = process.Process.Kill()
		_ = process.Wait()
		b.logf("engine-1 crashes (SIGKILL)")
		time.Sleep(backAfter)
		if process, err = start(); err != nil {
			return notPlayed, err
		}
		mu.Lock()
		up, born, sequence = true, time.Now().UnixMilli(), 0
		mu.Unlock()
		writeEntry()
		b.logf("engine-1 is back")
	}
	wg.Wait()
	truncated, whole := 0, 0
	for _, r := range results {
		if r.status == http.StatusOK && r.whole && r.events < unreadEvents {
			truncated++
		}
		if r.whole && r.events == unreadEvents {
			whole++
		}
	}
	if b.trouble == "0" && whole < clients {
		return notPlayed, fmt.Errorf("only %d of %d streams were complete without the disruption", whole, clients)
	}
	return b.conclude(truncated > 0, "%d of %d streams ended as complete before their last event", truncated, clients)
}
