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
	// Prefixes are path prefixes such as "chat/". The empty prefix covers every file.
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

func (e Edit) covers(path string) bool {
	for _, prefix := range e.Prefixes {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// Rollback returns the edit that restores all files of an earlier version. It is published as
// a new version.
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
	// Blobs holds new contents by digest. Contents that the platform has may be left out.
	Blobs map[string][]byte
	// Base is the version that the edit was made from. Nil stands for the head that is read first.
	Base *Manifest
	// MaxMerges limits how often a publish that lost the race is merged and tried again.
	// Zero stands for DefaultMaxMerges.
	MaxMerges int
	// MaxAttempts limits repeated calls for one effect that is unavailable or unknown.
	// Zero stands for DefaultMaxAttempts.
	MaxAttempts int
}

// Defaults of Request's limits.
const (
	// DefaultMaxMerges covers 17 publishers in lock step, where the last loses 16 races.
	DefaultMaxMerges = 16
	// DefaultMaxAttempts lets a publish outlast a pause of the platform of a few seconds, given
	// the caller's growing pauses between attempts.
	DefaultMaxAttempts = 8
)

// ErrOutcomeUnknown reports a publish that ended before it was known whether it was accepted.
var ErrOutcomeUnknown = errors.New("revision: outcome unknown")

// Op names the operation of an effect.
type Op int

const (
	// OpReadHead reads HeadKey.
	OpReadHead Op = iota
	// OpReadVersion reads Key, the archived manifest of a version.
	OpReadVersion
	// OpCheck checks the contents of Manifest as a whole.
	OpCheck
	// OpWriteBlobs writes each of Blobs under its BlobKey unless the key exists.
	OpWriteBlobs
	// OpArchive writes Value under Key unless the key exists.
	OpArchive
	// OpSwapHead writes Value under HeadKey if its revision is Expect.
	OpSwapHead
	// OpDone ends the publish: Manifest is accepted. Unchanged tells that it was in force before.
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
	// StatusRefused means that repeating cannot help; Reply.Err says why.
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
	request Request
	last    Effect
	// base and mine are set once; head is the newest head that was read.
	base, mine   *Manifest
	head         Manifest
	headRevision uint64
	merged       Manifest
	// swapped is the version of a head write that may have taken effect, or zero.
	swapped uint64
	merges  int
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
	case p.last.Op == OpDone || p.last.Op == OpFailed:
		return p.last
	case r.Status == StatusRefused && p.swapped != 0:
		return p.giveUp(r)
	case r.Status == StatusRefused:
		return p.fail(oops.In("revision").Code("refused").Wrapf(r.Err, "publish refused"))
	case p.last.Op == OpSwapHead:
		return p.headSwapped(r)
	case r.Status == StatusUnavailable || r.Status == StatusUnknown:
		return p.repeat(r)
	}
	switch p.last.Op {
	case OpReadHead:
		return p.headRead(r)
	case OpReadVersion:
		return p.versionRead(r)
	case OpCheck:
		return p.emit(Effect{Op: OpWriteBlobs, Blobs: p.request.Blobs})
	case OpWriteBlobs:
		return p.archive()
	default:
		return p.swap()
	}
}

func (p *Publisher) emit(e Effect) Effect {
	e.Attempt = max(1, e.Attempt)
	p.last = e
	return e
}

func (p *Publisher) fail(err error) Effect { return p.emit(Effect{Op: OpFailed, Err: err}) }

func (p *Publisher) repeat(r Reply) Effect {
	if p.last.Attempt >= p.request.MaxAttempts {
		return p.giveUp(r)
	}
	e := p.last
	e.Attempt++
	return p.emit(e)
}

// giveUp ends a publish. Its error says whether the head may have been written.
func (p *Publisher) giveUp(r Reply) Effect {
	if p.swapped != 0 {
		return p.fail(fmt.Errorf("%w: publish %s may have been accepted as version %d: %w",
			ErrOutcomeUnknown, p.request.PublishID, p.swapped, r.cause()))
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
			return p.fail(oops.In("revision").Code("bad_head").Wrapf(err, "the head cannot be read"))
		}
	}
	p.head, p.headRevision = head, r.Revision
	if p.swapped != 0 {
		return p.settle()
	}
	return p.prepare()
}

// settle finds out whether an earlier head write took effect.
func (p *Publisher) settle() Effect {
	switch {
	case p.head.PublishID == p.request.PublishID:
		return p.done(p.head)
	case p.head.Version > p.swapped:
		return p.emit(Effect{Op: OpReadVersion, Key: VersionKey(p.swapped)})
	case p.head.Version == p.swapped:
		p.swapped = 0
	}
	return p.lost()
}

// versionRead looks for this publish among the versions that are no longer the head.
func (p *Publisher) versionRead(r Reply) Effect {
	if r.Status == StatusAbsent {
		return p.fail(oops.In("revision").Code("bad_head").Errorf("the manifest of version %d is not archived", p.swapped))
	}
	archived, err := Decode(r.Value)
	if err != nil {
		return p.fail(oops.In("revision").Code("bad_head").Wrapf(err, "the archived version %d cannot be read", p.swapped))
	}
	if archived.PublishID == p.request.PublishID {
		return p.done(archived)
	}
	p.swapped = 0
	return p.lost()
}

// lost starts over on the newest head. While swapped is set, the head has not moved and the
// write may still take effect; then the next swap conflicts and finds the publish id.
func (p *Publisher) lost() Effect {
	p.merges++
	if p.merges > p.request.MaxMerges && p.swapped != 0 {
		return p.giveUp(Reply{})
	}
	if p.merges > p.request.MaxMerges {
		return p.fail(oops.In("revision").Code("contention").Errorf("publish %s lost %d races and gave up", p.request.PublishID, p.merges))
	}
	return p.prepare()
}

// prepare merges the edit with the head.
func (p *Publisher) prepare() Effect {
	if p.mine == nil {
		p.start()
	}
	merged, conflict := Merge(*p.base, p.head, *p.mine)
	if conflict != nil {
		return p.fail(conflict)
	}
	if maps.Equal(merged.Files, p.head.Files) && p.head.Version > 0 && p.swapped == 0 {
		return p.emit(Effect{Op: OpDone, Manifest: p.head, Unchanged: true})
	}
	if size := len(merged.Encode()); size > MaxManifestBytes {
		return p.fail(oops.In("revision").Code("too_large").Errorf("the manifest has %d bytes, the limit is %d", size, MaxManifestBytes))
	}
	p.merged = merged
	return p.emit(Effect{Op: OpCheck, Manifest: merged})
}

// start fixes the base and the files wanted.
func (p *Publisher) start() {
	base := p.head
	if p.request.Base != nil {
		base = *p.request.Base
	}
	p.base = &base
	p.mine = &Manifest{
		PublishID:          p.request.PublishID,
		Files:              p.request.Edit.Apply(base.Files),
		PublishedUnixMilli: p.request.PublishedUnixMilli,
		Publisher:          p.request.Publisher,
	}
}

func (p *Publisher) archive() Effect {
	if p.head.Version == 0 {
		return p.swap()
	}
	return p.emit(Effect{Op: OpArchive, Key: VersionKey(p.head.Version), Value: p.head.Encode()})
}

func (p *Publisher) swap() Effect {
	return p.emit(Effect{Op: OpSwapHead, Value: p.merged.Encode(), Expect: p.headRevision, Manifest: p.merged})
}

// headSwapped handles the result of the write that publishes. Every result but success and a
// refusal before any effect is settled by reading the head.
func (p *Publisher) headSwapped(r Reply) Effect {
	switch r.Status {
	case StatusOK:
		return p.done(p.merged)
	case StatusUnavailable:
		return p.repeat(r)
	default:
		p.swapped = p.merged.Version
		return p.emit(Effect{Op: OpReadHead})
	}
}

func (p *Publisher) done(m Manifest) Effect {
	return p.emit(Effect{Op: OpDone, Manifest: m})
}
