package capacity

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/bilberrywell/bilberrywell/admission"
	"github.com/bilberrywell/bilberrywell/claim"
	"github.com/bilberrywell/bilberrywell/config"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/quarantine"
	"github.com/bilberrywell/bilberrywell/rateshare"
	"github.com/bilberrywell/bilberrywell/timeline"
)

// stateKind is a kind of state that an instance holds many times. targetCount is the number at
// TargetSize, counts are the measured numbers, and build returns state of n items.
type stateKind struct {
	name        string
	targetCount float64
	counts      []int
	build       func(n int) any
}

// attemptsInFlightPerInstance is the number of attempts in flight of 15,000 requests/s with 453 tokens
// at 43 ms each, divided by 490 instances and rounded up.
const attemptsInFlightPerInstance = 600

// perInstance returns the share of one instance in a total of TargetSize.
func perInstance(total float64) float64 { return total / float64(TargetSize.Instances) }

var stateKinds = []stateKind{
	{"chat in a home's cache estimate", perInstance(float64(TargetSize.ReturningChats)), []int{2000, 4000, 8000, 16000}, chatsInCacheEstimate},
	{"attempt in flight at a home", attemptsInFlightPerInstance, []int{100, 200, 400, 800}, attemptsInFlight},
	{"customer at its rate owner", float64(TargetSize.Customers), []int{85, 170, 340, 680}, customersAtRateOwner},
	{"customer's bucket at an entry", float64(TargetSize.Customers), []int{85, 170, 340, 680}, rateBuckets},
	{"finished claim at the writer of a partition", 5000, []int{500, 1000, 2000, 4000}, finishedClaims},
	{"time line event", 8192, []int{1024, 2048, 4096, 8192}, timelineEvents},
	{"fingerprint with a strike", 4096, []int{512, 1024, 2048, 4096}, fingerprintsWithStrike},
}

// Memory measures the live heap of each kind of state, and at each size that of a reducer and of the
// compiled configuration.
func Memory(w io.Writer, sizes []Size) {
	for _, kind := range stateKinds {
		series := Series{Name: "heap: " + kind.name, XName: "number", Unit: "kB", Target: kind.targetCount}
		for _, n := range kind.counts {
			series.Points = append(series.Points, Point{float64(n), heapOf(func() any { return kind.build(n) }) / 1000})
		}
		fmt.Fprintln(w, series)
	}
	series := Series{Name: "heap: reducer with links and configuration", XName: "instances", Unit: "kB", Target: float64(TargetSize.Instances)}
	compiled := Series{Name: "heap: compiled configuration", XName: "engines", Unit: "kB", Target: float64(TargetSize.Engines)}
	for _, size := range sizes {
		series.Points = append(series.Points, Point{float64(size.Instances), heapOf(func() any { return newSingleReducer(size).core }) / 1000})
		compiled.Points = append(compiled.Points, Point{float64(size.Engines), heapOf(func() any {
			snapshot, _ := config.Compile(size.configFiles())
			return snapshot
		}) / 1000})
	}
	fmt.Fprintln(w, series)
	fmt.Fprintln(w, compiled)
}

// heapOf returns the live heap of the value that build returns, in bytes.
func heapOf(build func() any) float64 {
	before := liveHeap()
	value := build()
	after := liveHeap()
	runtime.KeepAlive(value)
	return after - before
}

func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func homeWithEngines(n int) *admission.Home {
	home := admission.New(admission.Config{})
	for i := range n {
		home.Adopt(0, admission.Engine{ID: engineID(i), Pool: "model-0", Slots: 10000, Capacity: 1}, false)
	}
	return home
}

func engineID(i int) fleet.EngineID { return fleet.EngineID(fmt.Sprintf("engine-%04d", i)) }

func admissionRequest(i, engine int) admission.Request {
	return admission.Request{
		Attempt: fleet.AttemptID(fmt.Sprintf("instance-0001-abc-%d", i)), Entry: "instance-0001",
		Customer: fleet.CustomerID(fmt.Sprintf("c%d", i%TargetSize.Customers)), Weight: 1, Class: 1,
		Chat: fleet.ChatKey(i + 1), Fingerprint: fleet.Fingerprint(i), Engine: engineID(engine),
	}
}

// homeEngines is the number of engines that an instance is home of at TargetSize, rounded up.
const homeEngines = 4

func chatsInCacheEstimate(n int) any {
	home := homeWithEngines(homeEngines)
	for i := range n {
		r := admissionRequest(i, i%homeEngines)
		home.Offer(0, r)
		home.Release(0, r.Attempt, admission.Done)
	}
	return home
}

func attemptsInFlight(n int) any {
	home := homeWithEngines(homeEngines)
	for i := range n {
		home.Offer(0, admissionRequest(i, i%homeEngines))
	}
	return home
}

var rateLimit = rateshare.Limit{Rate: 100, Burst: 100}

func customersAtRateOwner(n int) any {
	owner := rateshare.NewOwner(rateshare.Config{}, 1)
	for i := range n {
		id := fleet.CustomerID(fmt.Sprintf("c%d", i))
		owner.AddCustomer(0, id, rateLimit)
		owner.Request(time.Minute, id, 5)
	}
	return owner
}

func rateBuckets(n int) any {
	all := make(map[fleet.CustomerID]*rateshare.Bucket)
	for i := range n {
		b := rateshare.NewBucket(rateshare.Config{}, rateLimit, TargetSize.Instances)
		b.Take(time.Second)
		all[fleet.CustomerID(fmt.Sprintf("c%d", i))] = b
	}
	return all
}

func timelineEvents(n int) any {
	ring := timeline.NewRing(n)
	for i := range 2 * n {
		ring.Add(timeline.Event{
			Instance: "instance-0001", Kind: "attempt_started", Request: fmt.Sprintf("instance-0001-%d", i),
			Attempt: fleet.AttemptID(fmt.Sprintf("instance-0001-abc-%d", i)), Engine: engineID(i % 1600), Customer: "c1",
		})
	}
	return ring
}

func fingerprintsWithStrike(n int) any {
	tracker := quarantine.New(quarantine.Config{})
	for i := range n {
		tracker.Crash(0, engineID(i%1600), 1, []fleet.Fingerprint{fleet.Fingerprint(i + 1)})
	}
	return tracker
}

// finishedClaims claims and finishes n calls in one partition.
func finishedClaims(n int) any {
	s := newClaimPartition()
	for i := range n {
		s.runCall(i)
	}
	return s.partition
}

// claimPartition is a partition of claims with a store in memory that answers immediately.
type claimPartition struct {
	partition *claim.Partition
	entries   map[string]claim.Entry
	now       time.Duration
	swaps     int
	bytes     int
	granted   map[uint64]bool
}

func newClaimPartition() *claimPartition {
	return &claimPartition{
		partition: claim.New(claim.Config{Writer: claim.Holder{Instance: "instance-0001", Incarnation: 1}}, rand.New(rand.NewPCG(1, 1))),
		entries:   make(map[string]claim.Entry), granted: make(map[uint64]bool),
	}
}

func (s *claimPartition) runCall(i int) {
	key := claim.KeyOf("c1", "orders", fmt.Sprint(i))
	nonce := uint64(i + 1)
	s.applyEffects(s.partition.Claim(s.now, claim.Request{
		Key: key, Holder: claim.Holder{Instance: "instance-0001", Incarnation: 1}, Nonce: nonce,
		Attempt: fleet.AttemptID(fmt.Sprint("instance-0001-", i)),
	}))
	s.advanceBatch()
	s.applyEffects(s.partition.Finish(s.now, key, nonce, claim.Outcome{Status: 200, ContentType: "application/json", Body: make([]byte, 200)}))
	s.advanceBatch()
}

// advanceBatch advances the time by the batch interval.
func (s *claimPartition) advanceBatch() {
	s.now += 25 * time.Millisecond
	s.applyEffects(s.partition.Tick(s.now, epoch.Add(s.now).UnixMilli()))
}

func (s *claimPartition) applyEffects(effects []claim.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case claim.Read:
			entry := s.entries[e.Key]
			kind := claim.OK
			if entry.Revision == 0 {
				kind = claim.NotFound
			}
			s.applyEffects(s.partition.ReadDone(s.now, e.Call, entry, kind))
		case claim.Swap:
			entry := claim.Entry{Value: e.Value, Revision: s.entries[e.Key].Revision + 1}
			s.entries[e.Key] = entry
			s.swaps++
			s.bytes += len(e.Value)
			s.applyEffects(s.partition.SwapDone(s.now, e.Call, entry.Revision, claim.OK))
		}
	}
}
