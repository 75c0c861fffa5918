package capacity

import (
	"fmt"
	"runtime"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/core"
	"github.com/bilberrywell/bilberrywell/internal/harness"
	"github.com/bilberrywell/bilberrywell/internal/platform"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/revision"
)

// epoch is the wall-clock time of the measured reducers.
var epoch = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// solo is one reducer in a fleet of any size whose other members are only messages. It
// measures the target size itself, which a session of all instances can't reach.
type solo struct {
	core    *core.Core
	size    Size
	now     time.Duration
	rows    []platform.Instance
	values  map[string][]byte
	linked  []platform.Instance
	started map[core.RequestID]core.StartAttempt
	sent    []core.SendMessage
	last    core.RequestID
	beats   uint64
	version uint64
	// ownedEngine is an engine of this home once it was looked up.
	ownedEngine fleet.EngineID
	// answerList makes the platform answer reads of the list, and listReads counts them.
	answerList bool
	listReads  int
	// dialed holds the planned peers that this instance dials.
	dialed map[fleet.InstanceID]bool
}

// placeOf returns the data centre and region of the i-th instance or engine.
func (s Size) placeOf(i int) (fleet.DataCentre, fleet.Region) {
	dc := i % s.DataCentres
	return fleet.DataCentre(fmt.Sprintf("dc-%02d", dc)), fleet.Region(fmt.Sprintf("region-%d", dc%s.Regions))
}

func (s Size) instances() []platform.Instance {
	rows := make([]platform.Instance, s.Instances)
	for i := range rows {
		dc, region := s.placeOf(i)
		rows[i] = platform.Instance{
			ID:         fleet.InstanceID(fmt.Sprintf("instance-%04d", i)),
			PeerAddr:   fmt.Sprintf("10.%d.%d.%d:7401", i%13, i/250, i%250),
			AdminAddr:  fmt.Sprintf("10.%d.%d.%d:7402", i%13, i/250, i%250),
			DataCentre: dc, Region: region,
		}
	}
	return rows
}

// files returns a configuration of the size: a file for each model and one for every
// customersPerFile customers.
func (s Size) files() map[string][]byte {
	files := make(map[string][]byte)
	for m := range s.Models {
		var rows []harness.EngineRow
		for i := m; i < s.Engines; i += s.Models {
			dc, region := s.placeOf(i)
			rows = append(rows, harness.EngineRow{
				ID: fleet.EngineID(fmt.Sprintf("engine-%04d", i)), DataCentre: dc, Region: region, Slots: 64,
			})
		}
		id := fleet.ServiceID(fmt.Sprintf("model-%d", m))
		files[fmt.Sprintf("services/%s.yaml", id)] = harness.ServiceFile{ID: id, Engines: rows}.YAML()
	}
	files["customers.yaml"] = harness.Customers(s.Customers, 100)
	return files
}

// newSolo returns a reducer that has its configuration, its links and a heartbeat of each peer.
func newSolo(size Size) *solo {
	s := &solo{
		size: size, rows: size.instances(), values: make(map[string][]byte),
		started: make(map[core.RequestID]core.StartAttempt),
	}
	self := s.rows[0]
	s.core = core.New(core.Config{
		Instance: self.ID, Incarnation: 1, DataCentre: self.DataCentre, Region: self.Region,
		PeerAddr: self.PeerAddr, Seed: 1,
	})
	s.publish(size.files())
	s.step(core.InstanceList{Rows: s.rows})
	s.step(core.Tick{})
	for _, row := range s.linked {
		s.peerUp(row)
	}
	s.beatAll()
	return s
}

func (s *solo) peerUp(row platform.Instance) {
	s.step(core.PeerUp{Instance: row.ID, Incarnation: 1, Addr: row.PeerAddr, DataCentre: row.DataCentre, Region: row.Region})
}

// publish makes files the head. The reducer reads it with its next tick, or is given it.
func (s *solo) publish(files map[string][]byte) {
	s.version++
	manifest := revision.Manifest{
		Version: s.version, PublishID: fmt.Sprint(s.version), Files: revision.Digests(files), Publisher: "capacity",
	}
	s.values[revision.HeadKey] = manifest.Encode()
	for digest, content := range blobsOf(files) {
		s.values[revision.BlobKey(digest)] = content
	}
}

func blobsOf(files map[string][]byte) map[string][]byte {
	blobs := make(map[string][]byte, len(files))
	for _, content := range files {
		blobs[revision.Digest(content)] = content
	}
	return blobs
}

// beatAll delivers a complete heartbeat of each peer.
func (s *solo) beatAll() {
	for i := range s.linked {
		s.beat(i, true)
	}
}

func (s *solo) beat(peer int, full bool) {
	s.beats++
	row := s.linked[peer%len(s.linked)]
	beat := &wire.Heartbeat{Sequence: s.beats, ConfigVersion: s.version, IntervalMs: 1600, Full: full}
	for m := range s.size.Models {
		beat.Pools = append(beat.Pools, wire.PoolTotal{
			Service: fleet.ServiceID(fmt.Sprintf("model-%d", m)), InFlight: int(s.beats % 8), CapacityMilli: 1000,
		})
	}
	s.message(row, beat)
}

func (s *solo) message(from platform.Instance, m wire.Message) {
	s.step(core.PeerMessage{From: from.ID, Incarnation: 1, Message: m})
}

// step handles an event and everything that the platform answers to it.
func (s *solo) step(ev core.Event) {
	events := []core.Event{ev}
	for len(events) > 0 {
		next := events[0]
		events = events[1:]
		at := core.Instant{Mono: s.now, Wall: epoch.Add(s.now)}
		for _, effect := range s.core.Step(at, next) {
			if answer := s.effect(effect); answer != nil {
				events = append(events, answer)
			}
		}
	}
}

func (s *solo) effect(effect core.Effect) core.Event {
	switch e := effect.(type) {
	case core.SetPeers:
		s.setPeers(e)
	case core.ListInstances:
		s.listReads++
		if s.answerList {
			return core.InstanceList{Rows: s.rows}
		}
	case core.StoreGet:
		value, ok := s.values[e.Key]
		if !ok {
			return core.StoreReply{Op: e.Op, Err: platform.ErrNotFound}
		}
		return core.StoreReply{Op: e.Op, Entry: platform.Entry{Value: value, Revision: s.version}}
	case core.ProbeEngine:
		return core.EngineReport{Engine: e.Target.Engine, Slots: 64, Incarnation: 1}
	case core.ReadCacheEvents:
		return core.CacheEvents{Engine: e.Target.Engine}
	case core.StartAttempt:
		s.started[e.Request] = e
	case core.SendMessage:
		s.sent = append(s.sent, e)
	}
	return nil
}

func (s *solo) setPeers(e core.SetPeers) {
	planned := make(map[fleet.InstanceID]bool)
	s.dialed = make(map[fleet.InstanceID]bool)
	for _, p := range e.Peers {
		planned[p.ID] = true
		s.dialed[p.ID] = p.Dial
	}
	s.linked = s.linked[:0]
	for _, row := range s.rows {
		if planned[row.ID] {
			s.linked = append(s.linked, row)
		}
	}
}

// repeats is the number of calls between two readings of the allocator, which stop the world.
const repeats = 4

// Cost is the cost of one event.
type Cost struct {
	Time   time.Duration
	Bytes  float64
	Allocs float64
}

// measure repeats an action for at least the time and returns the mean cost of a call. What
// prepare does before each call is not counted.
func measure(at time.Duration, prepare, action func()) Cost {
	var cost Cost
	var before, after runtime.MemStats
	n := 0
	prepare()
	action()
	for cost.Time < at {
		prepare()
		runtime.ReadMemStats(&before)
		start := time.Now()
		for range repeats {
			action()
		}
		cost.Time += time.Since(start)
		runtime.ReadMemStats(&after)
		cost.Bytes += float64(after.TotalAlloc - before.TotalAlloc)
		cost.Allocs += float64(after.Mallocs - before.Mallocs)
		n += repeats
	}
	return Cost{Time: cost.Time / time.Duration(n), Bytes: cost.Bytes / float64(n), Allocs: cost.Allocs / float64(n)}
}
