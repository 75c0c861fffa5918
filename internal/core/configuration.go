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
	// watchersPerRegion is the number of instances of a region that watch the head, the
	// platform's key with the newest manifest.
	watchersPerRegion = 3
	// maxWatchWait is the time limit of one watch call, after which a watcher knows that it still reads the head.
	maxWatchWait = time.Second
	// headSilenceSlack is the part of headSilenceLimit for delays of the platform and the links.
	headSilenceSlack = 500 * time.Millisecond
	// silenceSpreadPerInstance, times the number of instances, is the time over which the fleet spreads the reads of
	// the head that follow a loss of the watchers: 2,000 reads/s.
	silenceSpreadPerInstance = 500 * time.Microsecond
	// pollInterval is the time between reads of the head by instances without a watch.
	// Heartbeats of peers announce new versions to them much earlier.
	pollInterval = 60 * time.Second
	// readSpreadPerInstance, times the number of instances, is the time over which the fleet
	// spreads its reads of a new version from the platform. A change of one file takes two
	// reads at each instance, which gives 1,000 reads/s at any size of the fleet.
	readSpreadPerInstance = 2 * time.Millisecond
	// platformReadTimeout is the time after the spread in which the platform should have
	// answered. After it, peers are asked.
	platformReadTimeout = time.Second
	// fetchTimeout is the time limit of a peer's answer; after it, a source is chosen again.
	fetchTimeout = time.Second
	// storeBackoff is the longest wait after a failed read from the platform.
	storeBackoff = 2 * time.Second
	// blobsPerRequest is the largest number of files requested in one message.
	blobsPerRequest = 64
)

// configState is the state of configuration updates.
type configState struct {
	adopter *revision.Adopter
	// headRevision is the revision of the head that was read last; a watch waits for a later one.
	headRevision uint64
	// headReadPending is set while a read or watch of the head waits for its answer.
	headReadPending bool
	nextHeadRead    time.Duration
	// headReadAt is when this instance last read the head, headKnownAt the latest time at which it or a peer is known
	// to have read it.
	headReadAt, headKnownAt time.Duration
	// peerVersions is the configuration version of each peer's last heartbeat.
	peerVersions map[fleet.InstanceID]uint64
	// headReadFailed is set if the last read of the head failed.
	headReadFailed bool
	// askPeersAt is when peers are asked for a version that is being read from the platform;
	// zero means never.
	askPeersAt time.Duration
	// sourcePeer is the peer that was asked for its manifest at sourceAskedAt; empty means none.
	sourcePeer    fleet.InstanceID
	sourceAskedAt time.Duration
	publishID     string
	// offerOutcome and offerRejection are the result of the last offered manifest.
	offerOutcome   string
	offerRejection string
	ready          bool
	// compiled is the result of the adopter's last validation.
	compiled *config.Snapshot
}

func (s *configState) init() {
	s.peerVersions = make(map[fleet.InstanceID]uint64)
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
	if !c.configuration.headReadPending && (c.mono() >= c.configuration.nextHeadRead || c.watchersLost()) {
		c.readHead()
	}
	if c.configuration.sourcePeer != "" && c.mono() >= c.configuration.sourceAskedAt+fetchTimeout {
		c.configuration.sourcePeer = ""
		c.fetchFromPeer()
	}
	if c.configuration.askPeersAt != 0 && c.mono() >= c.configuration.askPeersAt {
		c.askPeers()
	}
}

// headSilenceLimit returns the time without a known read of the head after which the watchers count as lost.
func (c *Core) headSilenceLimit() time.Duration {
	return maxWatchWait + c.heartbeatInterval() + headSilenceSlack
}

// watchersLost reports whether no instance is known to read the head any more, so that this one must. After a failed
// read of its own it waits for nextHeadRead.
func (c *Core) watchersLost() bool {
	spread := silenceSpreadPerInstance * time.Duration(len(c.view.Peers())+1)
	turn := time.Duration(fleet.Hash("head", string(c.cfg.Instance)) % uint64(spread))
	return !c.configuration.headReadFailed && c.mono()-c.configuration.headKnownAt >= c.headSilenceLimit()+turn
}

// headAgeMs returns how long ago this instance read the head, as heartbeats name it.
func (c *Core) headAgeMs() uint32 {
	age := c.mono() - c.configuration.headReadAt
	if c.configuration.headReadAt == 0 || age >= c.headSilenceLimit() {
		return 0
	}
	return millis(age) + 1
}

// peerHeadRead records when a peer last read the head, by its heartbeat.
func (c *Core) peerHeadRead(ageMs uint32) {
	if ageMs > 0 {
		readAt := c.mono() - time.Duration(ageMs-1)*time.Millisecond
		c.configuration.headKnownAt = max(c.configuration.headKnownAt, readAt)
	}
}

// readHead starts a watch of the head if this instance is a watcher and has read it before;
// otherwise it reads the head once.
func (c *Core) readHead() {
	c.configuration.headReadPending = true
	if c.isWatcher() && c.configuration.headRevision > 0 {
		id := c.operations.add(operation{kind: opWatchHead})
		c.emit(StoreWatch{Op: id, Key: revision.HeadKey, After: c.configuration.headRevision, Wait: maxWatchWait})
		return
	}
	id := c.operations.add(operation{kind: opReadHead})
	c.emit(StoreGet{Op: id, Key: revision.HeadKey})
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
	live := c.view.HomeCandidates(c.cfg.Region)
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

// headRead handles the answer to a read or watch of the head.
func (c *Core) headRead(kind opKind, ev StoreReply) {
	c.configuration.headReadPending = false
	c.configuration.headReadFailed = ev.Err != nil
	switch {
	case ev.Err != nil:
		c.configuration.nextHeadRead = c.mono() + c.jitter(storeBackoff)
		c.askPeers()
		return
	case kind == opWatchHead || c.isWatcher():
		c.configuration.nextHeadRead = c.mono()
	default:
		c.configuration.nextHeadRead = c.mono() + c.jitter(pollInterval)
	}
	c.configuration.headReadAt, c.configuration.headKnownAt = c.mono(), c.mono()
	c.configuration.headRevision = ev.Entry.Revision
	c.offerManifest(ev.Entry.Value, "")
}

// offerManifest offers a manifest to the adopter. The sender is empty unless it is a peer.
func (c *Core) offerManifest(data []byte, from fleet.InstanceID) {
	manifest, err := revision.Decode(data)
	if err != nil {
		c.count(CounterConfigInvalid, 1)
		return
	}
	c.handleOfferResult(c.configuration.adopter.Offer(manifest), from)
}

// handleOfferResult acts on the result of an offered manifest or file.
func (c *Core) handleOfferResult(result revision.Result, from fleet.InstanceID) {
	c.configuration.offerOutcome = result.Outcome.String()
	c.configuration.offerRejection = ""
	switch result.Outcome {
	case revision.Adopted:
		c.applyConfiguration()
	case revision.Older, revision.Diverged:
		c.count(CounterConfigOlder, 1)
	case revision.Missing:
		c.fetchBlobs(result.Digests, from)
	case revision.Rejected:
		c.count(CounterConfigInvalid, 1)
		c.configuration.offerRejection = result.Err.Error()
		c.emit(RecordEvent{Kind: "config_rejected", Detail: c.configuration.offerRejection})
	}
}

// fetchBlobs requests missing files from the given peer, or from the platform if there is none.
func (c *Core) fetchBlobs(digests []string, from fleet.InstanceID) {
	if from != "" && from != c.cfg.Instance {
		for len(digests) > 0 {
			n := min(blobsPerRequest, len(digests))
			c.send(from, &wire.BlobRequest{Digests: digests[:n]})
			digests = digests[n:]
		}
		return
	}
	for _, digest := range digests {
		id := c.operations.add(operation{kind: opReadBlob})
		c.emit(StoreGet{Op: id, Key: revision.BlobKey(digest)})
	}
}

// blobRead handles a file read from the platform. After a failure the head is read again,
// which requests the missing files again, and peers are asked.
func (c *Core) blobRead(ev StoreReply) {
	if ev.Err != nil {
		c.configuration.nextHeadRead = min(c.configuration.nextHeadRead, c.mono()+c.jitter(storeBackoff))
		c.configuration.headRevision = 0
		c.askPeers()
		return
	}
	c.addBlob(ev.Entry.Value)
}

func (c *Core) addBlob(data []byte) {
	result, pending := c.configuration.adopter.Add(data)
	if pending && result.Outcome != revision.Missing {
		c.handleOfferResult(result, "")
	}
}

// applyConfiguration puts the adopter's current configuration in force.
func (c *Core) applyConfiguration() {
	manifest := c.configuration.adopter.Current()
	c.snapshot = c.configuration.compiled
	c.configuration.publishID = manifest.PublishID
	c.configuration.sourcePeer = ""
	c.configuration.askPeersAt = 0
	c.count(CounterConfigAdopted, 1)
	c.homes.admission.SetLimits(c.snapshot.Limits.LoadBound, c.snapshot.Limits.QueueLength)
	stopped := c.stoppedEngines()
	c.rebuildPools()
	c.reassignHomes()
	c.moveChatsFromStopped(stopped)
	c.updatePoolTotals()
	c.configureRates()
	c.configureDuties()
	c.emit(ConfigInForce{Version: manifest.Version, PublishID: manifest.PublishID})
	// The next tick sends a heartbeat, which announces the version to peers.
	c.members.nextHeartbeat = 0
	c.updateReady()
}

// updateReady reports a change of readiness. An instance becomes ready once its configuration
// is at least as new as those of its peers, and stays ready until it drains.
func (c *Core) updateReady() {
	ready := c.snapshot != nil && !c.drain.active && (c.configuration.ready || c.configuration.version() >= c.newestPeerVersion())
	if ready != c.configuration.ready {
		c.configuration.ready = ready
		c.emit(SetReady{Ready: ready})
	}
}

func (c *Core) newestPeerVersion() uint64 {
	newest := uint64(0)
	for _, version := range c.configuration.peerVersions {
		newest = max(newest, version)
	}
	return newest
}

// peerVersionReceived records the version in a peer's heartbeat and starts a read of a newer one.
func (c *Core) peerVersionReceived(from fleet.InstanceID, version uint64) {
	c.configuration.peerVersions[from] = version
	if version > c.configuration.version() {
		c.newerVersionReceived(version)
	}
	c.updateReady()
}

// newerVersionReceived schedules a read of a newer version from the platform. Peers are asked
// only when the platform fails: their links carry a few kilobytes per second, so a file of
// 70 KB would take a minute.
func (c *Core) newerVersionReceived(version uint64) {
	if c.configuration.headReadFailed {
		c.askPeers()
		return
	}
	if c.configuration.askPeersAt != 0 || c.configuration.sourcePeer != "" {
		return
	}
	spread := readSpreadPerInstance * time.Duration(len(c.view.Peers())+1)
	c.configuration.askPeersAt = c.mono() + spread + platformReadTimeout
	if pending := c.configuration.adopter.Pending(); pending == nil || pending.Version < version {
		c.configuration.nextHeadRead = min(c.configuration.nextHeadRead, c.mono()+time.Duration(c.rng.Int64N(int64(spread))))
	}
}

// askPeers requests the newest known version from a peer, unless a request is open already.
func (c *Core) askPeers() {
	c.configuration.askPeersAt = 0
	if c.configuration.sourcePeer == "" {
		c.fetchFromPeer()
	}
}

// fetchFromPeer requests the manifest of a random linked peer that has the newest known version.
func (c *Core) fetchFromPeer() {
	newest := c.newestPeerVersion()
	if newest <= c.configuration.version() {
		return
	}
	var sources []fleet.InstanceID
	for id, version := range c.configuration.peerVersions {
		if version == newest && c.isLinked(id) {
			sources = append(sources, id)
		}
	}
	if len(sources) == 0 {
		return
	}
	sort.Slice(sources, func(i, j int) bool { return sources[i] < sources[j] })
	// The random choice spreads the load over the sources.
	c.configuration.sourcePeer = sources[c.rng.IntN(len(sources))]
	c.configuration.sourceAskedAt = c.mono()
	c.send(c.configuration.sourcePeer, &wire.ConfigRequest{HaveVersion: c.configuration.version()})
}

func (c *Core) configRequested(from fleet.InstanceID, m *wire.ConfigRequest) {
	manifest := c.configuration.adopter.Current()
	if manifest.Version > m.HaveVersion {
		c.send(from, &wire.ConfigManifest{Version: manifest.Version, Manifest: manifest.Encode()})
	}
}

func (c *Core) manifestReceived(from fleet.InstanceID, m *wire.ConfigManifest) {
	c.offerManifest(m.Manifest, from)
}

func (c *Core) blobsRequested(from fleet.InstanceID, m *wire.BlobRequest) {
	for _, digest := range m.Digests {
		if data, ok := c.configuration.adopter.Blob(digest); ok {
			c.send(from, &wire.Blob{Digest: digest, Data: data})
		}
	}
}

func (c *Core) blobReceived(m *wire.Blob) { c.addBlob(m.Data) }

// configPublished applies a published configuration that the publisher sent directly, so that
// it can spread to the fleet while the platform is down.
func (c *Core) configPublished(ev ConfigPublished) {
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
