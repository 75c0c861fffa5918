package peer

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
)

// Guards against TLS settings that break the WebSocket upgrade, such as negotiating HTTP/2.
func TestTLS(t *testing.T) {
	server := New(Config{Self: wire.Hello{Instance: "b", Incarnation: 2}, Secret: "s"})
	defer server.Close()
	https := httptest.NewUnstartedServer(server.Handler())
	https.EnableHTTP2 = true
	https.StartTLS()
	defer https.Close()
	up := make(chan fleet.InstanceID, 1)
	client := New(Config{
		Self: wire.Hello{Instance: "a", Incarnation: 1}, Secret: "s",
		TLS:  https.Client().Transport.(*http.Transport).TLSClientConfig,
		OnUp: func(hello wire.Hello) { up <- hello.Instance },
	})
	defer client.Close()
	client.SetTargets([]Target{{ID: "b", Addr: https.Listener.Addr().String(), Dial: true}})
	require.Equal(t, fleet.InstanceID("b"), <-up)
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryInUse returns the bytes of heap and stacks after a garbage collection.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

// star is a hub with links to several peers over the loopback interface, all in this process.
type star struct {
	hub      *Manager
	peers    []*Manager
	servers  []*httptest.Server
	received atomic.Int64
}

func newStar(links int) *star {
	const unlimited = 1 << 40
	s := &star{}
	up := make(chan struct{}, links)
	s.hub = New(Config{Self: wire.Hello{Instance: "hub", Incarnation: 1}, Secret: "s", Budget: unlimited,
		Interval: time.Hour, OnUp: func(wire.Hello) { up <- struct{}{} }})
	var targets []Target
	for i := range links {
		id := fleet.InstanceID(fmt.Sprintf("peer-%d", i))
		m := New(Config{Self: wire.Hello{Instance: id, Incarnation: 1}, Secret: "s", Budget: unlimited, Interval: time.Hour,
			OnMessage: func(fleet.InstanceID, uint64, wire.Message) { s.received.Add(1) }})
		server := httptest.NewServer(m.Handler())
		s.peers, s.servers = append(s.peers, m), append(s.servers, server)
		targets = append(targets, Target{ID: id, Addr: server.Listener.Addr().String()})
	}
	before := memoryInUse()
	for i := range targets {
		targets[i].Dial = true
	}
	s.hub.SetTargets(targets)
	for range links {
		<-up
	}
	linkBytes = float64(memoryInUse()-before) / float64(links)
	return s
}

// linkBytes is the memory of both ends of a link in the star that was created last.
var linkBytes float64

func (s *star) close() {
	s.hub.Close()
	for i, m := range s.peers {
		m.Close()
		s.servers[i].Close()
	}
}

// round sends one message on every link and waits until all have arrived.
func (s *star) round(m wire.Message) {
	want := s.received.Load() + int64(s.hub.SendAll(m))
	for s.received.Load() < want {
		time.Sleep(100 * time.Microsecond)
	}
}

// BenchmarkHeartbeatRound measures one frame with one message on each link. Both ends are in this
// process, so one instance accounts for half of the CPU time and memory.
func BenchmarkHeartbeatRound(b *testing.B) {
	for _, links := range []int{10, 50, 120} {
		b.Run(fmt.Sprintf("links=%d", links), func(b *testing.B) {
			s := newStar(links)
			defer s.close()
			heartbeat := &wire.Heartbeat{Sequence: 9, Pools: []wire.PoolTotal{{Service: "chat", InFlight: 7, CapacityMilli: 4000}}}
			cpu := cpuTime()
			b.ResetTimer()
			for range b.N {
				s.round(heartbeat)
			}
			reportMetrics(b, b.N*links, cpuTime()-cpu)
		})
	}
}

// BenchmarkAdmissionBurst measures 1,000 messages queued at once on each link, which share frames.
func BenchmarkAdmissionBurst(b *testing.B) {
	for _, links := range []int{10, 50, 120} {
		b.Run(fmt.Sprintf("links=%d", links), func(b *testing.B) {
			s := newStar(links)
			defer s.close()
			admit := &wire.Admit{Attempt: 1 << 40, Engine: "engine-17", Chat: 1 << 60, Customer: "customer", MayQueue: true}
			cpu := cpuTime()
			b.ResetTimer()
			for range b.N {
				for range 999 {
					s.hub.SendAll(admit)
				}
				s.round(admit)
				for s.received.Load()%int64(1000*links) != 0 {
					time.Sleep(100 * time.Microsecond)
				}
			}
			reportMetrics(b, b.N*links*1000, cpuTime()-cpu)
			b.ReportMetric(float64(b.N*links*1000)/float64(s.hub.counters.frames[sent].Get()), "messages/frame")
		})
	}
}

func reportMetrics(b *testing.B, messages int, cpu time.Duration) {
	b.ReportMetric(float64(messages)/b.Elapsed().Seconds(), "messages/s")
	b.ReportMetric(float64(cpu.Microseconds())/float64(messages)*1000, "cpu-us/1000msg")
	b.ReportMetric(linkBytes, "B/link-both-ends")
}
