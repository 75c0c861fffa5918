package admission_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/bilberrywell/bilberrywell/admission"
	"github.com/bilberrywell/bilberrywell/fleet"
)

func benchHome(engines int) *admission.Home {
	home := admission.New(admission.Config{})
	for e := range engines {
		home.Adopt(0, admission.Engine{ID: engineName(e), Pool: "p", Slots: 32, Capacity: 1}, false)
	}
	return home
}

// benchRequest spreads attempts over engines, and over 10 customers of each engine.
func benchRequest(i, engines int) admission.Request {
	return admission.Request{Attempt: fleet.AttemptID(fmt.Sprint("attempt-", i)), Entry: "n1", Engine: engineName(i % engines),
		Customer: fleet.CustomerID(fmt.Sprint("c", i/engines%10)), Chat: fleet.ChatKey(i), MayQueue: true}
}

func BenchmarkOfferRelease(b *testing.B) {
	for _, engines := range []int{3, 30, 300} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			home, requests := benchHome(engines), make([]admission.Request, 100_000)
			for i := range requests {
				requests[i] = benchRequest(i, engines)
			}
			b.ReportAllocs()
			for i := range b.N {
				home.Offer(0, requests[i%len(requests)])
				home.Release(0, requests[i%len(requests)].Attempt, admission.Cancelled)
			}
		})
	}
}

// heapGrowth returns the bytes that stay on the heap after fill.
func heapGrowth(fill func()) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	fill()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkMemory reports bytes per engine, per running attempt with its id (16 on each
// engine) and per cached chat (1,000 on each engine).
func BenchmarkMemory(b *testing.B) {
	for _, engines := range []int{3, 30, 300} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			for range b.N {
				var home *admission.Home
				n := float64(engines)
				b.ReportMetric(heapGrowth(func() { home = benchHome(engines) })/n, "B/engine")
				b.ReportMetric(heapGrowth(func() {
					for i := range 16 * engines {
						home.Offer(0, benchRequest(i, engines))
					}
				})/n/16, "B/running")
				b.ReportMetric(heapGrowth(func() {
					for i := range 1000 * engines {
						event := admission.CacheEvent{Seq: 1, At: 1, Stored: []fleet.ChatKey{fleet.ChatKey(i)}}
						home.CacheEvent(engineName(i%engines), event)
					}
				})/n/1000, "B/chat")
				runtime.KeepAlive(home)
			}
		})
	}
}
