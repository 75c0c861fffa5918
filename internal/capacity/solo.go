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

// epoch is the wall-clock time at which the measured reducers start.
var epoch = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// singleReducer is one reducer in a fleet of any size. The other members exist only as the messages
// that it receives, so that TargetSize itself can be measured. A simulation of all instances, such
// as simulatedRegion, can't reach that size.
type singleReducer struct {
	core              *core.Core
	size              Size
	now               time.Duration
	rows              []platform.Instance
	values            map[string][]byte
	linkedPeers       []platform.Instance
	started           map[core.RequestID]core.StartAttempt
	sentMessages      []core.SendMessage
	lastRequest       core.RequestID
	heartbeatSequence uint64
	version           uint64
	// ownedEngine is an engine of this home, or empty until findOwnedEngine has found one.
	ownedEngine fleet.EngineID
	// answerList makes the platform answer reads of the instance list. listReads counts the reads.
	answerList bool
	listReads  int
	// dialed holds, for each planned peer, whether this instance dials it.
	dialed map[fleet.InstanceID]bool
}

// placeOf returns the data centre and region of the i-th instance or engine.
func (s Size) placeOf(i int) (fleet.DataCentre, fleet.Region) {
	dc := i % s.DataCentres
	return fleet.DataCentre(fmt.Sprintf("dc-%02d", dc)), fleet.Region(fmt.Sprintf("region-%d", dc%s.Regions))
}

func (s Size) instanceRows() []platform.Instance {
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

// configFiles returns a configuration of the size, with one file for each model and one file for all
// customers.
func (s Size) configFiles() map[string][]byte {
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

// newSingleReducer returns a reducer that has read its configuration, is linked to all planned peers
// and has received a heartbeat of each.
func newSingleReducer(size Size) *singleReducer {
	s := &singleReducer{
		size: size, rows: size.instanceRows(), values: make(map[string][]byte),
		started: make(map[core.RequestID]core.StartAttempt),
	}
	self := s.rows[0]
	s.core = core.New(core.Config{
		Instance: self.ID, Incarnation: 1, DataCentre: self.DataCentre, Region: self.Region,
		PeerAddr: self.PeerAddr, Seed: 1,
	})
	s.publish(size.configFiles())
	s.step(core.InstanceList{Rows: s.rows})
	s.step(core.Tick{})
	for _, row := range s.linkedPeers {
		s.peerUp(row)
	}
	s.receiveAllHeartbeats()
	return s
}

func (s *singleReducer) peerUp(row platform.Instance) {
	s.step(core.PeerUp{Instance: row.ID, Incarnation: 1, Addr: row.PeerAddr, DataCentre: row.DataCentre, Region: row.Region})
}

// publish stores files as the head version. The reducer reads it at its next tick, unless the caller
// passes it as an event first.
func (s *singleReducer) publish(files map[string][]byte) {
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

// receiveAllHeartbeats delivers a full heartbeat of each peer.
func (s *singleReducer) receiveAllHeartbeats() {
	for i := range s.linkedPeers {
		s.receiveHeartbeatOf(i, true)
	}
}

func (s *singleReducer) receiveHeartbeatOf(peer int, full bool) {
	s.heartbeatSequence++
	row := s.linkedPeers[peer%len(s.linkedPeers)]
	heartbeat := &wire.Heartbeat{Sequence: s.heartbeatSequence, ConfigVersion: s.version, IntervalMs: 1600, Full: full}
	for m := range s.size.Models {
		heartbeat.Pools = append(heartbeat.Pools, wire.PoolTotal{
			Service: fleet.ServiceID(fmt.Sprintf("model-%d", m)), InFlight: int(s.heartbeatSequence % 8), CapacityMilli: 1000,
		})
	}
	s.receiveMessage(row, heartbeat)
}

func (s *singleReducer) receiveMessage(from platform.Instance, m wire.Message) {
	s.step(core.PeerMessage{From: from.ID, Incarnation: 1, Message: m})
}

// step lets the reducer handle an event and the platform's answers to the resulting effects.
func (s *singleReducer) step(ev core.Event) {
	events := []core.Event{ev}
	for len(events) > 0 {
		next := events[0]
		events = events[1:]
		at := core.Instant{Mono: s.now, Wall: epoch.Add(s.now)}
		for _, effect := range s.core.Step(at, next) {
			if answer := s.handleEffect(effect); answer != nil {
				events = append(events, answer)
			}
		}
	}
}

func (s *singleReducer) handleEffect(effect core.Effect) core.Event {
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
		s.sentMessages = append(s.sentMessages, e)
	}
	return nil
}

func (s *singleReducer) setPeers(e core.SetPeers) {
	planned := make(map[fleet.InstanceID]bool)
	s.dialed = make(map[fleet.InstanceID]bool)
	for _, p := range e.Peers {
		planned[p.ID] = true
		s.dialed[p.ID] = p.Dial
	}
	s.linkedPeers = s.linkedPeers[:0]
	for _, row := range s.rows {
		if planned[row.ID] {
			s.linkedPeers = append(s.linkedPeers, row)
		}
	}
}

// callsPerReading is the number of calls between two readings of the memory statistics. Several calls
// share a reading because it stops the world.
const callsPerReading = 4

// Cost is the mean cost of one event in time and in allocated bytes and objects.
type Cost struct {
	Time   time.Duration
	Bytes  float64
	Allocs float64
}

// measure repeats an action for at least minTime and returns the mean cost of a call. It calls
// prepare before each group of callsPerReading calls and does not count its cost.
func measure(minTime time.Duration, prepare, action func()) Cost {
	var cost Cost
	var before, after runtime.MemStats
	n := 0
	prepare()
	action()
	for cost.Time < minTime {
		prepare()
		runtime.ReadMemStats(&before)
		start := time.Now()
		for range callsPerReading {
			action()
		}
		cost.Time += time.Since(start)
		runtime.ReadMemStats(&after)
		cost.Bytes += float64(after.TotalAlloc - before.TotalAlloc)
		cost.Allocs += float64(after.Mallocs - before.Mallocs)
		n += callsPerReading
	}
	return Cost{Time: cost.Time / time.Duration(n), Bytes: cost.Bytes / float64(n), Allocs: cost.Allocs / float64(n)}
}
