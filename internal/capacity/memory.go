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

// holding is state of which an instance keeps many, with the number at the target.
type holding struct {
	name   string
	target float64
	sizes  []int
	build  func(n int) any
}

// attemptsPerInstance is 15,000 requests/s of 453 tokens at 43 ms over 490 instances.
const attemptsPerInstance = 600

// perInstance returns an instance's share of a number.
func perInstance(total float64) float64 { return total / float64(Target.Instances) }

var holdings = []holding{
	{"chat in a home's cache estimate", perInstance(float64(Target.ReturningChats)), []int{2000, 4000, 8000, 16000}, warmChats},
	{"attempt in flight at a home", attemptsPerInstance, []int{100, 200, 400, 800}, attemptsInFlight},
	{"customer at its rate owner", float64(Target.Customers), []int{85, 170, 340, 680}, ownedCustomers},
	{"customer's bucket at an entry", float64(Target.Customers), []int{85, 170, 340, 680}, buckets},
	{"finished claim at the writer of a partition", 5000, []int{500, 1000, 2000, 4000}, claims},
	{"time line event", 8192, []int{1024, 2048, 4096, 8192}, events},
	{"fingerprint with a strike", 4096, []int{512, 1024, 2048, 4096}, strikes},
}

// Memory measures the live heap bytes of each kind of state, and of a whole reducer.
func Memory(w io.Writer, sizes []Size) {
	for _, h := range holdings {
		series := Series{Name: "heap: " + h.name, XName: "number", Unit: "kB", Target: h.target}
		for _, n := range h.sizes {
			series.Points = append(series.Points, Point{float64(n), heapOf(func() any { return h.build(n) }) / 1000})
		}
		fmt.Fprintln(w, series)
	}
	series := Series{Name: "heap: reducer with links and configuration", XName: "instances", Unit: "kB", Target: float64(Target.Instances)}
	compiled := Series{Name: "heap: compiled configuration", XName: "engines", Unit: "kB", Target: float64(Target.Engines)}
	for _, size := range sizes {
		series.Points = append(series.Points, Point{float64(size.Instances), heapOf(func() any { return newSolo(size).core }) / 1000})
		compiled.Points = append(compiled.Points, Point{float64(size.Engines), heapOf(func() any {
			snapshot, _ := config.Compile(size.files())
			return snapshot
		}) / 1000})
	}
	fmt.Fprintln(w, series)
	fmt.Fprintln(w, compiled)
}

// heapOf returns the live heap bytes of a value.
func heapOf(build func() any) float64 {
	before := liveHeap()
	kept := build()
	after := liveHeap()
	runtime.KeepAlive(kept)
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

func request(i, engine int) admission.Request {
	return admission.Request{
		Attempt: fleet.AttemptID(fmt.Sprintf("instance-0001-abc-%d", i)), Entry: "instance-0001",
		Customer: fleet.CustomerID(fmt.Sprintf("c%d", i%Target.Customers)), Weight: 1, Class: 1,
		Chat: fleet.ChatKey(i + 1), Fingerprint: fleet.Fingerprint(i), Engine: engineID(engine),
	}
}

// ownedEngines is the number of engines that an instance is home of at the target, rounded up.
const ownedEngines = 4

func warmChats(n int) any {
	home := homeWithEngines(ownedEngines)
	for i := range n {
		r := request(i, i%ownedEngines)
		home.Offer(0, r)
		home.Release(0, r.Attempt, admission.Done)
	}
	return home
}

func attemptsInFlight(n int) any {
	home := homeWithEngines(ownedEngines)
	for i := range n {
		home.Offer(0, request(i, i%ownedEngines))
	}
	return home
}

var limit = rateshare.Limit{Rate: 100, Burst: 100}

func ownedCustomers(n int) any {
	owner := rateshare.NewOwner(rateshare.Config{}, 1)
	for i := range n {
		id := fleet.CustomerID(fmt.Sprintf("c%d", i))
		owner.Own(0, id, limit)
		owner.Request(time.Minute, id, 5)
	}
	return owner
}

func buckets(n int) any {
	all := make(map[fleet.CustomerID]*rateshare.Bucket)
	for i := range n {
		b := rateshare.NewBucket(rateshare.Config{}, limit, Target.Instances)
		b.Take(time.Second)
		all[fleet.CustomerID(fmt.Sprintf("c%d", i))] = b
	}
	return all
}

func events(n int) any {
	ring := timeline.NewRing(n)
	for i := range 2 * n {
		ring.Add(timeline.Event{
			Instance: "instance-0001", Kind: "attempt_started", Request: fmt.Sprintf("instance-0001-%d", i),
			Attempt: fleet.AttemptID(fmt.Sprintf("instance-0001-abc-%d", i)), Engine: engineID(i % 1600), Customer: "c1",
		})
	}
	return ring
}

func strikes(n int) any {
	tracker := quarantine.New(quarantine.Config{})
	for i := range n {
		tracker.Crash(0, engineID(i%1600), 1, []fleet.Fingerprint{fleet.Fingerprint(i + 1)})
	}
	return tracker
}

// claims runs calls to their end through one partition over a map of values.
func claims(n int) any {
	s := newClaimStore()
	for i := range n {
		s.call(i)
	}
	return s.partition
}

// claimStore is a partition with storage that answers at once.
type claimStore struct {
	partition *claim.Partition
	entries   map[string]claim.Entry
	now       time.Duration
	swaps     int
	bytes     int
	granted   map[uint64]bool
}

func newClaimStore() *claimStore {
	return &claimStore{
		partition: claim.New(claim.Config{Writer: claim.Holder{Instance: "instance-0001", Incarnation: 1}}, rand.New(rand.NewPCG(1, 1))),
		entries:   make(map[string]claim.Entry), granted: make(map[uint64]bool),
	}
}

func (s *claimStore) call(i int) {
	key := claim.KeyOf("c1", "orders", fmt.Sprint(i))
	nonce := uint64(i + 1)
	s.do(s.partition.Claim(s.now, claim.Request{
		Key: key, Holder: claim.Holder{Instance: "instance-0001", Incarnation: 1}, Nonce: nonce,
		Attempt: fleet.AttemptID(fmt.Sprint("instance-0001-", i)),
	}))
	s.pass()
	s.do(s.partition.Finish(s.now, key, nonce, claim.Outcome{Status: 200, ContentType: "application/json", Body: make([]byte, 200)}))
	s.pass()
}

// pass lets the batch interval pass.
func (s *claimStore) pass() {
	s.now += 25 * time.Millisecond
	s.do(s.partition.Tick(s.now, epoch.Add(s.now).UnixMilli()))
}

func (s *claimStore) do(effects []claim.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case claim.Read:
			entry := s.entries[e.Key]
			kind := claim.OK
			if entry.Revision == 0 {
				kind = claim.NotFound
			}
			s.do(s.partition.Loaded(s.now, e.Call, entry, kind))
		case claim.Swap:
			entry := claim.Entry{Value: e.Value, Revision: s.entries[e.Key].Revision + 1}
			s.entries[e.Key] = entry
			s.swaps++
			s.bytes += len(e.Value)
			s.do(s.partition.Swapped(s.now, e.Call, entry.Revision, claim.OK))
		}
	}
}
