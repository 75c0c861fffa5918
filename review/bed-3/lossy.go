//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/bilberrywell/bilberrywell/internal/standin/simutil"
)

func init() { cases["lossy"] = playLossy }

const (
	// lossShare is the share of packets that the links to the engines lose, as the site file names it.
	lossShare = 0.025
	// retransmission is the time after which TCP sends a lost packet again, the shortest that Linux uses.
	retransmission = 200 * time.Millisecond
	// lossyRounds is the number of crashes of the case "lossy".
	lossyRounds = 10
)

// lossyPath passes connections on to an address and loses some packets, or all of them: what is lost, and what follows on its connection,
// arrives after a retransmission.
type lossyPath struct {
	addr, to string

	mu       sync.Mutex
	listener net.Listener
	lossy    bool
	// cut is set while the path is interrupted.
	cut  bool
	lost int
}

func (p *lossyPath) open() error {
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", p.addr); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener = l
	p.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(c.(*net.TCPConn))
		}
	}()
	return nil
}

// shut refuses new connections, as the address of a process that has ended does. Open connections go on.
func (p *lossyPath) shut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
}

func (p *lossyPath) setLossy(lossy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lossy = lossy
}

// setCut interrupts the path, or lets it pass again. New connections are refused meanwhile.
func (p *lossyPath) setCut(cut bool) error {
	if cut {
		p.shut()
	}
	p.mu.Lock()
	p.cut = cut
	p.mu.Unlock()
	if cut {
		return nil
	}
	return p.open()
}

func (p *lossyPath) interrupted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

// loses reports whether a packet that is sent now is lost.
func (p *lossyPath) loses() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	lose := p.cut || p.lossy && rand.Float64() < lossShare
	if lose {
		p.lost++
	}
	return lose
}

// packet waits until a packet arrives: TCP sends one that is lost again after a time that doubles with each attempt.
func (p *lossyPath) packet() {
	for wait := retransmission; p.loses(); wait *= 2 {
		time.Sleep(wait)
	}
}

func (p *lossyPath) pass(from *net.TCPConn) {
	opened, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = from.SetLinger(0)
		_ = from.Close()
		return
	}
	to := opened.(*net.TCPConn)
	var sides sync.WaitGroup
	sides.Go(func() { p.copy(to, from) })
	sides.Go(func() { p.copy(from, to) })
	sides.Wait()
	_ = from.Close()
	_ = to.Close()
}

// copy copies one direction. The end of the connection is a packet too.
func (p *lossyPath) copy(to, from *net.TCPConn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.packet()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.SetLinger(0)
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if isEOF(err) {
				_ = to.CloseWrite()
			} else {
				_ = to.SetLinger(0)
				_ = to.Close()
			}
			return
		}
	}
}

// processEngine is an engine in a process of its own, behind a path.
type processEngine struct {
	bed  *bed
	id   string
	path *lossyPath

	mu       sync.Mutex
	cmd      *exec.Cmd
	born     int64
	sequence int
}

func (e *processEngine) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	cmd := exec.Command(os.Args[0], "-engine", e.path.to, "-id", e.id)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	for range 100 {
		if c, err := net.Dial("tcp", e.path.to); err == nil {
			_ = c.Close()
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	e.cmd, e.born, e.sequence = cmd, time.Now().UnixMilli(), 0
	if e.path.interrupted() {
		return nil
	}
	return e.path.open()
}

// crash ends the engine's process.
func (e *processEngine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd == nil {
		return
	}
	if !e.path.interrupted() {
		e.path.shut()
	}
	_ = e.cmd.Process.Kill()
	_ = e.cmd.Wait()
	e.cmd = nil
}

// writeEntry writes the entry of an engine that runs.
func (e *processEngine) writeEntry() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd == nil {
		return
	}
	e.sequence++
	value, err := json.Marshal(map[string]any{"service": "pool", "address": e.path.addr, "zone": "z1", "version": "1.4.0", "slots": 64,
		"state": "ready", "cold_remaining_ms": 0, "sequence": e.sequence, "born": e.born})
	if err != nil {
		panic(err)
	}
	e.bed.store.Put("servers/"+e.id, value)
}

// unresumedConfig is a configuration with one route of streams that may not be resumed.
func unresumedConfig() map[string]any {
	config := chatConfig(7)
	route := config["routes"].([]map[string]any)[0]
	route["stream_resumption"], route["timeout_ms"] = false, 12000
	return config
}

// startProcesses starts engines in processes of their own and their heartbeats. It returns those that it has started.
func (b *bed) startProcesses(n int) ([]*processEngine, error) {
	var engines []*processEngine
	for i := range n {
		addrs, err := simutil.FreeAddrs(2)
		if err != nil {
			return engines, err
		}
		e := &processEngine{bed: b, id: fmt.Sprintf("engine-%d", i+1), path: &lossyPath{addr: addrs[0], to: addrs[1]}}
		if err := e.start(); err != nil {
			return engines, err
		}
		engines = append(engines, e)
		go func() {
			for {
				e.writeEntry()
				time.Sleep(heartbeat)
			}
		}()
	}
	return engines, nil
}

// playLossy: a zone's links lose packets, and engines crash, one at a time.
func playLossy(b *bed, daemon, dir string) (int, error) {
	b.publish(unresumedConfig())
	engines, err := b.startProcesses(6)
	defer func() {
		for _, e := range engines {
			e.crash()
		}
	}()
	if err != nil {
		return notPlayed, err
	}
	if err := b.startGateways(daemon, dir, 3); err != nil {
		return notPlayed, err
	}
	time.Sleep(time.Second)
	b.began = time.Now()
	client := newStreamClient(b, 12*time.Second)
	client.retries = 0
	var l load
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.run(client, 10*time.Millisecond, (4+4*lossyRounds)*time.Second)
	}()
	lossy := func(on bool) {
		for _, e := range engines {
			e.path.setLossy(on)
		}
	}
	for round := range lossyRounds {
		at := time.Duration(4+4*round) * time.Second
		b.at(at)
		if b.trouble == "0" {
			continue
		}
		if b.trouble != "crash" {
			b.logf("the links lose %v of the packets", lossShare)
			lossy(true)
		}
		b.at(at + 500*time.Millisecond)
		e := engines[round%len(engines)]
		if b.trouble != "loss" {
			e.crash()
			b.logf("%s crashes (SIGKILL)", e.id)
		}
		b.at(at + 1500*time.Millisecond)
		lossy(false)
		b.logf("the links lose no packets")
		if b.trouble != "loss" {
			b.at(at + 2500*time.Millisecond)
			if err := e.start(); err != nil {
				return notPlayed, err
			}
			e.writeEntry()
			b.logf("%s is back", e.id)
		}
	}
	<-done
	l.wg.Wait()
	return b.concludeWhole(&l)
}

// concludeWhole checks that no stream ended as complete before its last event.
func (b *bed) concludeWhole(l *load) (int, error) {
	whole, truncated, cut := 0, 0, 0
	for _, s := range l.streams {
		switch last := len(s.events); {
		case s.complete && last == unreadEvents:
			whole++
		case s.complete:
			truncated++
			b.logf("stream %s ended as complete after event %d of %d", s.name, last, unreadEvents)
		default:
			cut++
		}
	}
	b.logf("%d streams: %d whole, %d visibly cut or refused, %d ended as complete before their last event", len(l.streams), whole, cut, truncated)
	return b.conclude(truncated > 0, "%d of %d streams ended as complete before their last event", truncated, len(l.streams))
}

func isEOF(err error) bool { return err != nil && err.Error() == "EOF" }
