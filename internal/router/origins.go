package router

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/versions"
)

// While streams of a service may have begun at several versions, or it isn't known, each instance tells the keepers of a stream's partition
// which version began it. The first keeper writes what it is told to the store, many streams at a time, and a keeper that
// doesn't know a stream reads its partition there. So no origin is lost with one instance, and few with all.

// OriginsPrefix precedes the keys in the store that hold the origins of streams. The partition, the writer and a number
// follow it. They are not among the facts that instances exchange, and sort behind those, so that lists can end before them.
const OriginsPrefix = "~bilberrywell/origins/"

const (
	// originWriteInterval is the shortest time between two writes of an instance. With versions.Partitions keepers that
	// write, the fleet makes 80 a second.
	originWriteInterval = 100 * time.Millisecond
	// originLoadInterval is the shortest time between two reads of a partition by a keeper.
	originLoadInterval = 200 * time.Millisecond
	// maxOriginsPerMessage bounds the streams in one message to 18 KB.
	maxOriginsPerMessage = 2048
	// maxUnwritten bounds the streams that wait to be written. Further ones are only kept in memory.
	maxUnwritten = 1 << 14
)

// StoreOrigins writes keys to the store, which it removes after TTL. Its result is OriginsStored.
type StoreOrigins struct {
	Values []KeyValue
	TTL    time.Duration
}

// KeyValue is a key of the store with its value.
type KeyValue struct {
	Key   string
	Value []byte
}

// LoadOrigins reads the keys under a prefix, which holds the origins of a partition. Its result is OriginsLoaded.
type LoadOrigins struct {
	Partition versions.Partition
	Prefix    string
}

// OriginsStored reports the result of StoreOrigins.
type OriginsStored struct{ Err error }

// OriginsLoaded reports the result of LoadOrigins.
type OriginsLoaded struct {
	Partition versions.Partition
	Values    [][]byte
	Err       error
}

func (StoreOrigins) effect() {}
func (LoadOrigins) effect()  {}
func (OriginsStored) event() {}
func (OriginsLoaded) event() {}

// originKeeping is what concerns the origins that this instance keeps for the fleet.
type originKeeping struct {
	// unwritten holds the streams that are to be written to the store, written those of the write under way.
	unwritten, written map[versions.StreamKey]versions.Origin
	nextWrite          time.Duration
	sequence           uint64
	loads              map[versions.Partition]*originLoad
	// keepers holds the keepers of each partition, with further instances that are asked; nil until they are needed.
	keepers *[versions.Partitions][]fleet.InstanceID
}

// originLoad is the reading of a partition from the store.
type originLoad struct {
	running bool
	endedAt time.Duration
	// waiting holds the questions that the read under way is to answer, next those that came too late for it.
	waiting, next []originQuestion
}

// originQuestion is the question for the origin of a stream: that of a peer, or this instance's own with the ID own.
type originQuestion struct {
	from    fleet.InstanceID
	id, own uint64
	stream  versions.StreamKey
}

func (k *originKeeping) init() {
	k.unwritten = make(map[versions.StreamKey]versions.Origin)
	k.loads = make(map[versions.Partition]*originLoad)
}

// keepers returns the instances that are asked for origins of a partition. The first versions.Copies of them keep those.
func (r *Router) keepers(p versions.Partition) []fleet.InstanceID {
	k := &r.streams.keeping
	if k.keepers == nil {
		k.keepers = new([versions.Partitions][]fleet.InstanceID)
		instances := append(r.linkedPeers(), r.cfg.Instance)
		for p := range k.keepers {
			k.keepers[p] = versions.Keepers(versions.Partition(p), instances, versions.Asked)
		}
	}
	return k.keepers[p]
}

// keepsPartition reports whether this instance keeps the origins of a partition.
func (r *Router) keepsPartition(p versions.Partition) bool {
	rank := slices.Index(r.keepers(p), r.cfg.Instance)
	return rank >= 0 && rank < versions.Copies
}

// keepOrigin remembers the origin of a stream that this instance serves, and has it kept if that is needed.
func (r *Router) keepOrigin(key versions.StreamKey, origin versions.Origin) {
	r.streams.memory.Record(r.now, key, origin, true)
	if key != 0 && r.streams.keeps[origin.Service] {
		r.copyOrigins(origin, []versions.StreamKey{key})
	}
}

// copyAllOrigins has the origins of all streams kept that this instance has served for a service.
func (r *Router) copyAllOrigins(service fleet.ServiceID) {
	own := r.streams.memory.Own(r.now, service)
	for _, version := range slices.Sorted(maps.Keys(own)) {
		r.copyOrigins(versions.Origin{Service: service, Version: version}, own[version])
	}
}

// copyOrigins tells the keepers the origin of some streams.
func (r *Router) copyOrigins(origin versions.Origin, streams []versions.StreamKey) {
	// While origins are kept because the store can't be read, it can't be written either.
	written := r.openOf(origin.Service).Several(r.now)
	var partitions [versions.Partitions][]uint64
	for _, key := range streams {
		p := versions.PartitionOf(key)
		partitions[p] = append(partitions[p], uint64(key))
	}
	for p, keys := range partitions {
		if len(keys) == 0 {
			continue
		}
		keepers := r.keepers(versions.Partition(p))
		for rank, keeper := range keepers[:min(len(keepers), versions.Copies)] {
			switch {
			case keeper != r.cfg.Instance:
				for batch := range slices.Chunk(keys, maxOriginsPerMessage) {
					r.emit(SendMessage{To: keeper, Message: &wire.StreamOrigins{Service: origin.Service, Version: origin.Version, Streams: batch, Write: written && rank == 0}})
				}
			case written && rank == 0:
				r.writeLater(origin, keys)
			}
		}
	}
}

// originsReceived keeps origins for a peer.
func (r *Router) originsReceived(m *wire.StreamOrigins) {
	origin := versions.Origin{Service: m.Service, Version: m.Version}
	r.rememberOrigins(m)
	if m.Write {
		r.writeLater(origin, m.Streams)
	}
}

func (r *Router) rememberOrigins(m *wire.StreamOrigins) {
	for _, key := range m.Streams {
		r.streams.memory.Record(r.now, versions.StreamKey(key), versions.Origin{Service: m.Service, Version: m.Version}, false)
	}
}

// writeLater has origins written to the store with the next write.
func (r *Router) writeLater(origin versions.Origin, streams []uint64) {
	k := &r.streams.keeping
	for i, key := range streams {
		if len(k.unwritten) >= maxUnwritten {
			r.emit(Decision{Kind: "origins_unwritten", Fields: []any{"streams", len(streams) - i}})
			return
		}
		k.unwritten[versions.StreamKey(key)] = origin
	}
	r.writeOrigins()
}

// tickOrigins writes what is to be written, and reads the partitions again for which there are questions.
func (r *Router) tickOrigins() {
	loads := r.streams.keeping.loads
	for _, p := range slices.Sorted(maps.Keys(loads)) {
		r.startLoad(p, loads[p])
	}
	r.writeOrigins()
}

// writeOrigins writes origins to the store, one write at a time.
func (r *Router) writeOrigins() {
	k := &r.streams.keeping
	if len(k.unwritten) == 0 || k.written != nil || r.now < k.nextWrite {
		return
	}
	k.nextWrite = r.now + originWriteInterval
	values := r.encodeOrigins(k.unwritten)
	if len(values) == 0 {
		k.unwritten = make(map[versions.StreamKey]versions.Origin)
		return
	}
	k.unwritten, k.written = make(map[versions.StreamKey]versions.Origin), k.unwritten
	r.emit(StoreOrigins{Values: values, TTL: r.streams.memory.Life()})
}

// encodeOrigins returns the keys that hold some origins, one for each partition.
func (r *Router) encodeOrigins(origins map[versions.StreamKey]versions.Origin) []KeyValue {
	k := &r.streams.keeping
	groups := make(map[versions.Partition]map[versions.Origin][]uint64)
	for _, key := range slices.Sorted(maps.Keys(origins)) {
		p := versions.PartitionOf(key)
		if groups[p] == nil {
			groups[p] = make(map[versions.Origin][]uint64)
		}
		groups[p][origins[key]] = append(groups[p][origins[key]], uint64(key))
	}
	writer := strconv.FormatUint(fleet.Hash("writer", string(r.cfg.Instance), strconv.FormatUint(r.cfg.Incarnation, 10)), 36)
	var values []KeyValue
	for _, p := range slices.Sorted(maps.Keys(groups)) {
		var value []byte
		for _, origin := range slices.SortedFunc(maps.Keys(groups[p]), versions.Origin.Compare) {
			streams := groups[p][origin]
			encoded, err := wire.Append(value, &wire.StreamOrigins{Service: origin.Service, Version: origin.Version, Streams: streams})
			if err != nil {
				r.emit(Decision{Kind: "origins_unwritten", Fields: []any{"streams", len(streams), "error", err.Error()}})
				continue
			}
			value = encoded
		}
		k.sequence++
		values = append(values, KeyValue{originsPrefix(p) + writer + "-" + strconv.FormatUint(k.sequence, 36), value})
	}
	return values
}

func originsPrefix(p versions.Partition) string { return OriginsPrefix + strconv.Itoa(int(p)) + "/" }

// originsStored keeps the origins of a write that failed for the next one.
func (r *Router) originsStored(ev OriginsStored) {
	k := &r.streams.keeping
	if ev.Err != nil {
		for key, origin := range k.written {
			if _, remembered := r.streams.memory.Lookup(r.now, key); remembered && len(k.unwritten) < maxUnwritten {
				k.unwritten[key] = origin
			}
		}
	}
	k.written = nil
}

// originRequested answers a peer's question for the origin of a stream. The keepers read their partition in the store if
// they don't know it.
func (r *Router) originRequested(from fleet.InstanceID, m *wire.StreamOriginRequest) {
	stream := versions.StreamKey(m.Stream)
	question := originQuestion{from: from, id: m.ID, stream: stream}
	p := versions.PartitionOf(stream)
	if _, known := r.streams.memory.Lookup(r.now, stream); known {
		r.answerOrigin(question, false)
		return
	}
	if m.Service != "" && r.confirmsVersion(m.Service, m.Version) {
		r.emit(SendMessage{To: from, Message: &wire.StreamOriginReply{ID: m.ID, Confirmed: true}})
		return
	}
	if r.keepsPartition(p) {
		r.loadOrigins(p, question)
		return
	}
	r.answerOrigin(question, false)
}

// answerOrigin answers a question with what this instance remembers. readStore reports whether that includes what the
// store holds.
func (r *Router) answerOrigin(q originQuestion, readStore bool) {
	origin, known := r.streams.memory.Lookup(r.now, q.stream)
	if q.from == "" {
		r.originAnswered(q.own, originAnswer{origin: origin, known: known, readStore: readStore, own: true})
		return
	}
	r.emit(SendMessage{To: q.from, Message: &wire.StreamOriginReply{ID: q.id, Known: known, ReadStore: readStore, Service: origin.Service, Version: origin.Version}})
}

func (r *Router) originReplied(m *wire.StreamOriginReply) {
	r.originAnswered(m.ID, originAnswer{origin: versions.Origin{Service: m.Service, Version: m.Version}, known: m.Known, confirmed: m.Confirmed, readStore: m.ReadStore})
}

// loadOrigins answers a question when the partition has been read from the store.
func (r *Router) loadOrigins(p versions.Partition, q originQuestion) {
	load := r.streams.keeping.loads[p]
	if load == nil {
		load = &originLoad{endedAt: never}
		r.streams.keeping.loads[p] = load
	}
	load.next = append(load.next, q)
	r.startLoad(p, load)
}

// startLoad reads a partition from the store if there are questions and the last read is not too recent.
func (r *Router) startLoad(p versions.Partition, load *originLoad) {
	if load.running || len(load.next) == 0 || r.now-load.endedAt < originLoadInterval {
		return
	}
	load.running = true
	load.waiting, load.next = load.next, nil
	r.emit(LoadOrigins{Partition: p, Prefix: originsPrefix(p)})
}

// originsLoaded remembers the origins of a partition and answers the questions that were asked before the read began.
func (r *Router) originsLoaded(ev OriginsLoaded) {
	load := r.streams.keeping.loads[ev.Partition]
	if load == nil || !load.running {
		return
	}
	if ev.Err != nil {
		r.emit(Decision{Kind: "origins_unread", Fields: []any{"partition", ev.Partition, "error", ev.Err.Error()}})
	}
	for _, value := range ev.Values {
		messages, err := wire.Decode(value)
		if err != nil {
			r.emit(Decision{Kind: "origins_rejected", Fields: []any{"partition", ev.Partition, "error", err.Error()}})
		}
		for _, m := range messages {
			if origins, ok := m.(*wire.StreamOrigins); ok {
				r.rememberOrigins(origins)
			}
		}
	}
	waiting := load.waiting
	load.running, load.endedAt, load.waiting = false, r.now, nil
	for _, q := range waiting {
		r.answerOrigin(q, ev.Err == nil)
	}
}
