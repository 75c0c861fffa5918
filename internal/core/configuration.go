package core

import (
	"sort"
	"time"

	"github.com/bilberrywell/bilberrywell/affinity"
	"github.com/bilberrywell/bilberrywell/config"
	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/internal/wire"
	"github.com/bilberrywell/bilberrywell/revision"
)

const (
	// watchersPerRegion is the number of instances of a region that hold a watch on the head.
	watchersPerRegion = 3
	// watchWait is the longest wait of a watch.
	watchWait = 30 * time.Second
	// pollInterval is the time between reads of the head by instances without a watch. Peers
	// tell them of new versions much earlier.
	pollInterval = 60 * time.Second
	// readSpread is the time per instance of the fleet over which a new version is read from the
	// platform. A change of one file is two reads at each instance: 1,000 reads/s at any size.
	readSpread = 2 * time.Millisecond
	// readPatience is the time after the spread in which the platform should have answered.
	// After it, peers are asked.
	readPatience = time.Second
	// fetchTimeout is the time to wait for a peer's answer before another source is tried.
	fetchTimeout = time.Second
	// storeBackoff bounds the wait after a failed read of the head.
	storeBackoff = 2 * time.Second
	// blobsPerRequest bounds the files asked for in one message.
	blobsPerRequest = 64
)

// configState is the state of the configuration role.
type configState struct {
	adopter *revision.Adopter
	// revision is the head's revision as last read, for the watch.
	revision uint64
	watching bool
	nextRead time.Duration
	// heard is the newest version of each peer.
	heard map[fleet.InstanceID]uint64
	// storeFailed tells that the last read of the head failed.
	storeFailed bool
	// peersAt is when peers are asked for a version that the platform was asked for first;
	// zero means never.
	peersAt time.Duration
	// source is the peer that is asked at present, until asked+fetchTimeout.
	source    fleet.InstanceID
	asked     time.Duration
	publishID string
	// outcome and rejection tell how the last offer was taken.
	outcome   string
	rejection string
	ready     bool
	compiled  *config.Snapshot
}

func (s *configState) init() {
	s.heard = make(map[fleet.InstanceID]uint64)
	s.adopter = revision.NewAdopter(func(files map[string][]byte) error {
		snapshot, findings := config.Compile(files)
		s.compiled = snapshot
		return findings.Err()
	})
}

func (s *configState) version() uint64 { return s.adopter.Current().Version }

// Snapshot returns the configuration in force, or nil before the first one. It is read-only.
func (c *Core) Snapshot() *config.Snapshot { return c.snapshot }

func (c *Core) tickConfig() {
	if !c.conf.watching && c.mono() >= c.conf.nextRead {
		c.readHead()
	}
	if c.conf.source != "" && c.mono() >= c.conf.asked+fetchTimeout {
		c.conf.source = ""
		c.fetchFromPeer()
	}
	if c.conf.peersAt != 0 && c.mono() >= c.conf.peersAt {
		c.askPeers()
	}
}

// readHead watches the head, or reads it when other instances of the region hold watches.
func (c *Core) readHead() {
	c.conf.watching = true
	if c.isWatcher() && c.conf.revision > 0 {
		o := c.ops.add(op{kind: opWatch})
		c.emit(StoreWatch{Op: o, Key: revision.HeadKey, After: c.conf.revision, Wait: watchWait})
		return
	}
	o := c.ops.add(op{kind: opHead})
	c.emit(StoreGet{Op: o, Key: revision.HeadKey})
}

// isWatcher reports whether this instance is among the region's watchers.
func (c *Core) isWatcher() bool {
	for _, id := range c.topInstances("watch", watchersPerRegion) {
		if id == c.cfg.Instance {
			return true
		}
	}
	return false
}

// topInstances returns the first n instances of the region for a task by rendezvous hashing.
func (c *Core) topInstances(task string, n int) []fleet.InstanceID {
	live := c.view.Homes(c.cfg.Region)
	candidates := make([]affinity.Candidate, len(live))
	for i, instance := range live {
		candidates[i] = affinity.Candidate{ID: string(instance.ID), Weight: 1}
	}
	order := affinity.Rank(fleet.Hash("task", task), candidates)
	ids := make([]fleet.InstanceID, 0, n)
	for _, i := range order[:min(n, len(order))] {
		ids = append(ids, live[i].ID)
	}
	return ids
}

// headRead takes an answer about the head from the platform.
func (c *Core) headRead(kind opKind, ev StoreReply) {
	c.conf.watching = false
	c.conf.storeFailed = ev.Err != nil
	switch {
	case ev.Err != nil:
		c.conf.nextRead = c.mono() + c.jitter(storeBackoff)
		c.askPeers()
		return
	case kind == opWatch || c.isWatcher():
		c.conf.nextRead = c.mono()
	default:
		c.conf.nextRead = c.mono() + c.jitter(pollInterval)
	}
	c.conf.revision = ev.Entry.Revision
	c.offerManifest(ev.Entry.Value, "")
}

// offerManifest considers a manifest from the platform, a peer or a publisher.
func (c *Core) offerManifest(data []byte, from fleet.InstanceID) {
	manifest, err := revision.Decode(data)
	if err != nil {
		c.count(CounterConfigInvalid, 1)
		return
	}
	c.follow(c.conf.adopter.Offer(manifest), from)
}

// follow acts on the result of an offer.
func (c *Core) follow(result revision.Result, from fleet.InstanceID) {
	c.conf.outcome = result.Outcome.String()
	c.conf.rejection = ""
	switch result.Outcome {
	case revision.Adopted:
		c.adopted()
	case revision.Older, revision.Diverged:
		c.count(CounterConfigOlder, 1)
	case revision.Missing:
		c.fetch(result.Digests, from)
	case revision.Rejected:
		c.count(CounterConfigInvalid, 1)
		c.conf.rejection = result.Err.Error()
		c.emit(Record{Kind: "config_rejected", Detail: c.conf.rejection})
	}
}

// fetch reads missing files from a peer, or from the platform.
func (c *Core) fetch(digests []string, from fleet.InstanceID) {
	if from != "" && from != c.cfg.Instance {
		for len(digests) > 0 {
			n := min(blobsPerRequest, len(digests))
			c.send(from, &wire.BlobRequest{Digests: digests[:n]})
			digests = digests[n:]
		}
		return
	}
	for _, digest := range digests {
		o := c.ops.add(op{kind: opBlob})
		c.emit(StoreGet{Op: o, Key: revision.BlobKey(digest)})
	}
}

// blobRead takes a file from the platform. A failed read is repeated with the next read of the head.
func (c *Core) blobRead(ev StoreReply) {
	if ev.Err != nil {
		c.conf.nextRead = min(c.conf.nextRead, c.mono()+c.jitter(storeBackoff))
		c.conf.revision = 0
		c.askPeers()
		return
	}
	c.addBlob(ev.Entry.Value)
}

func (c *Core) addBlob(data []byte) {
	result, pending := c.conf.adopter.Add(data)
	if pending && result.Outcome != revision.Missing {
		c.follow(result, "")
	}
}

// adopted takes the adopter's current configuration into force.
func (c *Core) adopted() {
	manifest := c.conf.adopter.Current()
	c.snapshot = c.conf.compiled
	c.conf.publishID = manifest.PublishID
	c.conf.source = ""
	c.conf.peersAt = 0
	c.count(CounterConfigAdopted, 1)
	c.homes.admission.SetLimits(c.snapshot.Limits.LoadBound, c.snapshot.Limits.QueueLength)
	stopped := c.stoppedEngines()
	c.rebuildPools()
	c.reassignHomes()
	c.moveFromStopped(stopped)
	c.updatePoolTotals()
	c.configureRates()
	c.configureDuties()
	c.emit(ConfigInForce{Version: manifest.Version, PublishID: manifest.PublishID})
	// Peers learn of the version at once.
	c.members.nextHeartbeat = 0
	c.updateReady()
}

// updateReady reports a change of readiness: an instance is ready while its configuration is
// at least as new as that of every peer it hears, and it doesn't drain.
func (c *Core) updateReady() {
	ready := c.snapshot != nil && !c.drain.active && (c.conf.ready || c.conf.version() >= c.newestHeard())
	if ready != c.conf.ready {
		c.conf.ready = ready
		c.emit(SetReady{Ready: ready})
	}
}

func (c *Core) newestHeard() uint64 {
	newest := uint64(0)
	for _, version := range c.conf.heard {
		newest = max(newest, version)
	}
	return newest
}

// versionHeard follows a peer's version.
func (c *Core) versionHeard(from fleet.InstanceID, version uint64) {
	c.conf.heard[from] = version
	if version > c.conf.version() {
		c.newerHeard(version)
	}
	c.updateReady()
}

// newerHeard reads a newer version from the platform. Peers are asked only when the platform
// fails: their links carry a few kilobytes per second, which is a minute for a file of 70 KB.
func (c *Core) newerHeard(version uint64) {
	if c.conf.storeFailed {
		c.askPeers()
		return
	}
	if c.conf.peersAt != 0 || c.conf.source != "" {
		return
	}
	spread := readSpread * time.Duration(len(c.view.Peers())+1)
	c.conf.peersAt = c.mono() + spread + readPatience
	if pending := c.conf.adopter.Pending(); pending == nil || pending.Version < version {
		c.conf.nextRead = min(c.conf.nextRead, c.mono()+time.Duration(c.rng.Int64N(int64(spread))))
	}
}

// askPeers fetches the newest version heard from a peer, unless one is asked already.
func (c *Core) askPeers() {
	c.conf.peersAt = 0
	if c.conf.source == "" {
		c.fetchFromPeer()
	}
}

// fetchFromPeer asks a linked peer with the newest version for its manifest.
func (c *Core) fetchFromPeer() {
	newest := c.newestHeard()
	if newest <= c.conf.version() {
		return
	}
	var sources []fleet.InstanceID
	for id, version := range c.conf.heard {
		if version == newest && c.isLinked(id) {
			sources = append(sources, id)
		}
	}
	if len(sources) == 0 {
		return
	}
	sort.Slice(sources, func(i, j int) bool { return sources[i] < sources[j] })
	// A random source keeps one instance from serving all others.
	c.conf.source = sources[c.rng.IntN(len(sources))]
	c.conf.asked = c.mono()
	c.send(c.conf.source, &wire.ConfigRequest{Have: c.conf.version()})
}

func (c *Core) configRequested(from fleet.InstanceID, m *wire.ConfigRequest) {
	manifest := c.conf.adopter.Current()
	if manifest.Version > m.Have {
		c.send(from, &wire.ConfigManifest{Version: manifest.Version, Manifest: manifest.Encode()})
	}
}

func (c *Core) manifestReceived(from fleet.InstanceID, m *wire.ConfigManifest) {
	c.offerManifest(m.Manifest, from)
}

func (c *Core) blobsRequested(from fleet.InstanceID, m *wire.BlobRequest) {
	for _, digest := range m.Digests {
		if data, ok := c.conf.adopter.Blob(digest); ok {
			c.send(from, &wire.Blob{Digest: digest, Data: data})
		}
	}
}

func (c *Core) blobReceived(m *wire.Blob) { c.addBlob(m.Data) }

// configHandoff takes a publish from its publisher, so that it spreads while the platform is down.
func (c *Core) configHandoff(ev ConfigHandoff) {
	c.offerManifest(ev.Manifest, "")
	digests := make([]string, 0, len(ev.Blobs))
	for digest := range ev.Blobs {
		digests = append(digests, digest)
	}
	sort.Strings(digests)
	for _, digest := range digests {
		c.addBlob(ev.Blobs[digest])
	}
}
