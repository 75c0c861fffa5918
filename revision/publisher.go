package revision

import (
	"errors"
	"fmt"
	"maps"
	"strings"

	"github.com/samber/oops"
)

// Edit is the change that a publish makes: all files below the prefixes are replaced by Files.
type Edit struct {
	// Prefixes are path prefixes such as "chat/". The empty prefix matches every file.
	Prefixes []string
	// Files maps paths to digests.
	Files map[string]string
}

// Apply returns files with the edit applied.
func (e Edit) Apply(files map[string]string) map[string]string {
	out := map[string]string{}
	for path, digest := range files {
		if !e.covers(path) {
			out[path] = digest
		}
	}
	maps.Copy(out, e.Files)
	return out
}

// covers reports whether a path has one of the prefixes.
func (e Edit) covers(path string) bool {
	for _, prefix := range e.Prefixes {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// Rollback returns the edit that restores all files of an earlier version. Publishing it creates a
// new version.
func Rollback(to Manifest) Edit {
	return Edit{Prefixes: []string{""}, Files: maps.Clone(to.Files)}
}

// Request describes a publish.
type Request struct {
	// PublishID must be unique in the fleet.
	PublishID          string
	Publisher          string
	PublishedUnixMilli int64
	Edit               Edit
	// Blobs holds new contents by digest. Contents that are already stored may be left out.
	Blobs map[string][]byte
	// Base is the version that the edit was made from. Nil means the first head that is read.
	Base *Manifest
	// MaxMerges limits how often a publish is merged again with the newest head, because another
	// publisher has changed the head or because it is unknown whether the head write took effect.
	// Zero means DefaultMaxMerges.
	MaxMerges int
	// MaxAttempts limits the attempts for one effect while its result is StatusUnavailable or
	// StatusUnknown. Zero means DefaultMaxAttempts.
	MaxAttempts int
}

// Defaults of Request's limits.
const (
	// DefaultMaxMerges is enough for 17 publishers in lock step, of which the last one finds the
	// head changed 16 times.
	DefaultMaxMerges = 16
	// DefaultMaxAttempts lets a publish succeed when the platform is unavailable for a few
	// seconds, since the caller waits longer before each attempt.
	DefaultMaxAttempts = 8
)

// ErrOutcomeUnknown reports a publish that ended without knowing whether it was accepted.
var ErrOutcomeUnknown = errors.New("revision: outcome unknown")

// Op names the operation of an effect.
type Op int

const (
	// OpReadHead reads HeadKey.
	OpReadHead Op = iota
	// OpReadVersion reads Key, the archived manifest of a version.
	OpReadVersion
	// OpCheck checks all contents of Manifest together.
	OpCheck
	// OpWriteBlobs writes each of Blobs under its BlobKey unless the key exists.
	OpWriteBlobs
	// OpArchive writes Value under Key unless the key exists.
	OpArchive
	// OpSwapHead writes Value under HeadKey if that key's revision is Expect.
	OpSwapHead
	// OpDone ends the publish: Manifest is accepted. Unchanged reports that the head already had
	// its files and nothing was written.
	OpDone
	// OpFailed ends the publish with Err.
	OpFailed
)

// Effect is the next operation that the caller performs.
type Effect struct {
	Op       Op
	Key      string
	Value    []byte
	Expect   uint64
	Blobs    map[string][]byte
	Manifest Manifest
	// Attempt counts from 1. The caller waits, with jitter, after any reply but StatusOK and
	// StatusAbsent.
	Attempt   int
	Unchanged bool
	Err       error
}

// Status is the result of an operation.
type Status int

const (
	// StatusOK means that the operation took effect, or that the key to create exists.
	StatusOK Status = iota
	// StatusAbsent means that the key to read does not exist.
	StatusAbsent
	// StatusConflict means that the head has another revision.
	StatusConflict
	// StatusUnavailable means that the operation had no effect and may be repeated.
	StatusUnavailable
	// StatusUnknown means that a write may have taken effect.
	StatusUnknown
	// StatusRefused means that repeating the operation cannot succeed; Reply.Err gives the reason.
	StatusRefused
)

// Reply is the result of the last effect.
type Reply struct {
	Status   Status
	Value    []byte
	Revision uint64
	Err      error
}

// Publisher runs one publish. Start returns the first effect and Step each next one, until
// OpDone or OpFailed.
type Publisher struct {
	request    Request
	lastEffect Effect
	// base and proposed are set once; head is the newest head that was read.
	base, proposed *Manifest
	head           Manifest
	headRevision   uint64
	merged         Manifest
	// uncertainVersion is the version of a head write that may have taken effect, or zero.
	uncertainVersion uint64
	merges           int
}

// NewPublisher returns a publisher for a request.
func NewPublisher(r Request) *Publisher {
	if r.MaxMerges == 0 {
		r.MaxMerges = DefaultMaxMerges
	}
	if r.MaxAttempts == 0 {
		r.MaxAttempts = DefaultMaxAttempts
	}
	return &Publisher{request: r}
}

// Start returns the first effect.
func (p *Publisher) Start() Effect { return p.emit(Effect{Op: OpReadHead}) }

// Step takes the result of the last effect and returns the next one.
func (p *Publisher) Step(r Reply) Effect {
	switch {
	case p.lastEffect.Op == OpDone || p.lastEffect.Op == OpFailed:
		return p.lastEffect
	case r.Status == StatusRefused && p.uncertainVersion != 0:
		return p.giveUp(r)
	case r.Status == StatusRefused:
		return p.fail(oops.In("revision").Code("refused").Wrapf(r.Err, "publish refused"))
	case p.lastEffect.Op == OpSwapHead:
		return p.headSwapped(r)
	case r.Status == StatusUnavailable || r.Status == StatusUnknown:
		return p.retry(r)
	}
	switch p.lastEffect.Op {
	case OpReadHead:
		return p.headRead(r)
	case OpReadVersion:
		return p.versionRead(r)
	case OpCheck:
		return p.emit(Effect{Op: OpWriteBlobs, Blobs: p.request.Blobs})
	case OpWriteBlobs:
		return p.archiveHead()
	default:
		return p.swapHead()
	}
}

func (p *Publisher) emit(e Effect) Effect {
	e.Attempt = max(1, e.Attempt)
	p.lastEffect = e
	return e
}

func (p *Publisher) fail(err error) Effect { return p.emit(Effect{Op: OpFailed, Err: err}) }

// retry repeats the last effect, up to MaxAttempts.
func (p *Publisher) retry(r Reply) Effect {
	if p.lastEffect.Attempt >= p.request.MaxAttempts {
		return p.giveUp(r)
	}
	e := p.lastEffect
	e.Attempt++
	return p.emit(e)
}

// giveUp ends a publish with an error that says whether the head may have been written.
func (p *Publisher) giveUp(r Reply) Effect {
	if p.uncertainVersion != 0 {
		return p.fail(fmt.Errorf("%w: publish %s may have been accepted as version %d: %w",
			ErrOutcomeUnknown, p.request.PublishID, p.uncertainVersion, r.cause()))
	}
	return p.fail(oops.In("revision").Code("unavailable").Wrapf(r.cause(), "platform unavailable: nothing was published"))
}

func (r Reply) cause() error {
	if r.Err != nil {
		return r.Err
	}
	return oops.Errorf("no answer")
}

func (p *Publisher) headRead(r Reply) Effect {
	head := Manifest{}
	if r.Status == StatusOK {
		var err error
		if head, err = Decode(r.Value); err != nil {
			return p.fail(oops.In("revision").Code("bad_head").Wrapf(err, "the manifest in the head cannot be decoded"))
		}
	}
	p.head, p.headRevision = head, r.Revision
	if p.uncertainVersion != 0 {
		return p.resolveHeadWrite()
	}
	return p.prepareMerge()
}

// resolveHeadWrite finds out whether an earlier head write took effect.
func (p *Publisher) resolveHeadWrite() Effect {
	switch {
	case p.head.PublishID == p.request.PublishID:
		return p.done(p.head)
	case p.head.Version > p.uncertainVersion:
		return p.emit(Effect{Op: OpReadVersion, Key: VersionKey(p.uncertainVersion)})
	case p.head.Version == p.uncertainVersion:
		p.uncertainVersion = 0
	}
	return p.retryOnHead()
}

// versionRead checks whether the archived version is that of this publish, whose head write then
// took effect before the head moved on.
func (p *Publisher) versionRead(r Reply) Effect {
	if r.Status == StatusAbsent {
		return p.fail(oops.In("revision").Code("bad_head").Errorf("the manifest of version %d is not archived", p.uncertainVersion))
	}
	archived, err := Decode(r.Value)
	if err != nil {
		return p.fail(oops.In("revision").Code("bad_head").Wrapf(err, "the archived manifest of version %d cannot be decoded", p.uncertainVersion))
	}
	if archived.PublishID == p.request.PublishID {
		return p.done(archived)
	}
	p.uncertainVersion = 0
	return p.retryOnHead()
}

// retryOnHead merges again with the newest head, up to MaxMerges times. While uncertainVersion is
// set, the head has not changed and the earlier write may still take effect. If it does, the next
// swap conflicts and the read that follows finds the publish id.
func (p *Publisher) retryOnHead() Effect {
	p.merges++
	if p.merges > p.request.MaxMerges && p.uncertainVersion != 0 {
		return p.giveUp(Reply{})
	}
	if p.merges > p.request.MaxMerges {
		return p.fail(oops.In("revision").Code("contention").Errorf("publish %s gave up after %d failed writes of the head", p.request.PublishID, p.merges))
	}
	return p.prepareMerge()
}

// prepareMerge merges the edit with the head and asks for a check of the result.
func (p *Publisher) prepareMerge() Effect {
	if p.proposed == nil {
		p.setBase()
	}
	merged, conflict := Merge(*p.base, p.head, *p.proposed)
	if conflict != nil {
		return p.fail(conflict)
	}
	if maps.Equal(merged.Files, p.head.Files) && p.head.Version > 0 && p.uncertainVersion == 0 {
		return p.emit(Effect{Op: OpDone, Manifest: p.head, Unchanged: true})
	}
	if size := len(merged.Encode()); size > MaxManifestBytes {
		return p.fail(oops.In("revision").Code("too_large").Errorf("the manifest has %d bytes, the limit is %d", size, MaxManifestBytes))
	}
	p.merged = merged
	return p.emit(Effect{Op: OpCheck, Manifest: merged})
}

// setBase sets the base and the proposed files.
func (p *Publisher) setBase() {
	base := p.head
	if p.request.Base != nil {
		base = *p.request.Base
	}
	p.base = &base
	p.proposed = &Manifest{
		PublishID:          p.request.PublishID,
		Files:              p.request.Edit.Apply(base.Files),
		PublishedUnixMilli: p.request.PublishedUnixMilli,
		Publisher:          p.request.Publisher,
	}
}

// archiveHead archives the manifest in force before the head is replaced. Without a head there is
// nothing to archive.
func (p *Publisher) archiveHead() Effect {
	if p.head.Version == 0 {
		return p.swapHead()
	}
	return p.emit(Effect{Op: OpArchive, Key: VersionKey(p.head.Version), Value: p.head.Encode()})
}

func (p *Publisher) swapHead() Effect {
	return p.emit(Effect{Op: OpSwapHead, Value: p.merged.Encode(), Expect: p.headRevision, Manifest: p.merged})
}

// headSwapped handles the result of the head write. If the result is neither success nor
// StatusUnavailable, reading the head shows whether the write took effect.
func (p *Publisher) headSwapped(r Reply) Effect {
	switch r.Status {
	case StatusOK:
		return p.done(p.merged)
	case StatusUnavailable:
		return p.retry(r)
	default:
		p.uncertainVersion = p.merged.Version
		return p.emit(Effect{Op: OpReadHead})
	}
}

func (p *Publisher) done(m Manifest) Effect {
	return p.emit(Effect{Op: OpDone, Manifest: m})
}
