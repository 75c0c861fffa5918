package harness

import (
	"errors"
	"sort"
	"time"

	"github.com/bilberrywell/bilberrywell/config"
	"github.com/bilberrywell/bilberrywell/internal/core"
	"github.com/bilberrywell/bilberrywell/internal/platform"
	"github.com/bilberrywell/bilberrywell/revision"
)

// Publish is one publish of a configuration, made as an operator's tool makes it.
type Publish struct {
	// Done is true once the publish has ended, with either an accepted manifest or an error.
	Done     bool
	Err      error
	Accepted revision.Manifest
	// AcceptedAt is the time at which the publisher learned that the manifest was accepted.
	AcceptedAt time.Duration

	h         *Harness
	publisher *revision.Publisher
	blobs     map[string][]byte
}

// publishBackoff is the delay before a call is retried.
const publishBackoff = 200 * time.Millisecond

// StartPublish starts to publish files that replace those under a path prefix. Once they are
// accepted, they are handed off to up to handOffCopies running instances.
func (h *Harness) StartPublish(id, prefix string, files map[string][]byte) *Publish {
	blobs := make(map[string][]byte, len(files))
	for _, content := range files {
		blobs[revision.Digest(content)] = content
	}
	p := &Publish{h: h, blobs: blobs}
	p.publisher = revision.NewPublisher(revision.Request{
		PublishID:          id,
		Publisher:          id,
		PublishedUnixMilli: h.WallTime().UnixMilli(),
		Edit:               revision.Edit{Prefixes: []string{prefix}, Files: revision.Digests(files)},
		Blobs:              blobs,
	})
	p.execute(p.publisher.Start())
	return p
}

// execute carries out an effect of the publisher, after publishBackoff if it is a retry.
func (p *Publish) execute(e revision.Effect) {
	if e.Attempt > 1 {
		retry := e
		retry.Attempt = 0
		p.h.After(publishBackoff, func() { p.execute(retry) })
		return
	}
	switch e.Op {
	case revision.OpDone:
		p.Done, p.Accepted, p.AcceptedAt = true, e.Manifest, p.h.Now()
		p.handOff(e.Manifest)
	case revision.OpFailed:
		p.Done, p.Err = true, e.Err
	case revision.OpReadHead:
		p.callStore("get", func() (platform.Entry, error) { return p.read(revision.HeadKey) })
	case revision.OpReadVersion:
		p.callStore("get", func() (platform.Entry, error) { return p.read(e.Key) })
	case revision.OpSwapHead:
		p.callStore("put", func() (platform.Entry, error) { return p.put(revision.HeadKey, e.Value, e.Expect) })
	case revision.OpArchive:
		p.callStore("put", func() (platform.Entry, error) { return p.create(e.Key, e.Value) })
	case revision.OpWriteBlobs:
		p.callStore("put", func() (platform.Entry, error) { return p.writeBlobs(e.Blobs) })
	case revision.OpCheck:
		p.h.After(0, func() { p.step(platform.Entry{}, p.check(e.Manifest)) })
	}
}

// callStore performs an operation on the key-value service, subject to the faults set on Store.
func (p *Publish) callStore(kind string, act func() (platform.Entry, error)) {
	s := p.h.Store
	s.Calls[kind]++
	if s.Down {
		p.h.After(p.h.Config.StoreLatency, func() { p.step(platform.Entry{}, platform.ErrUnavailable) })
		return
	}
	d := s.callDelay()
	p.h.After(d/2, func() {
		entry, err := act()
		lost := kind == "put" && err == nil && s.LoseWriteReplies > 0
		if lost {
			s.LoseWriteReplies--
			err = platform.ErrUnknown
		}
		p.h.After(d/2, func() { p.step(entry, err) })
	})
}

// step passes the answer of a call to the publisher and carries out its next effect.
func (p *Publish) step(entry platform.Entry, err error) {
	reply := revision.Reply{Value: entry.Value, Revision: entry.Revision, Err: err}
	switch {
	case err == nil:
		reply.Status = revision.StatusOK
	case errors.Is(err, platform.ErrNotFound):
		reply.Status = revision.StatusAbsent
	case errors.Is(err, platform.ErrConflict):
		reply.Status = revision.StatusConflict
	case errors.Is(err, platform.ErrUnavailable):
		reply.Status = revision.StatusUnavailable
	case errors.Is(err, platform.ErrUnknown):
		reply.Status = revision.StatusUnknown
	default:
		reply.Status = revision.StatusRefused
	}
	p.execute(p.publisher.Step(reply))
}

func (p *Publish) read(key string) (platform.Entry, error) {
	entry, ok := p.h.Store.entries[key]
	if !ok {
		return entry, platform.ErrNotFound
	}
	return entry, nil
}

func (p *Publish) put(key string, value []byte, expect uint64) (platform.Entry, error) {
	rev, err := p.h.Store.Put(key, value, expect)
	return platform.Entry{Revision: rev}, err
}

// create writes a key if it does not exist. An existing key is not an error, since it already
// holds the content.
func (p *Publish) create(key string, value []byte) (platform.Entry, error) {
	_, err := p.h.Store.Put(key, value, 0)
	if errors.Is(err, platform.ErrConflict) {
		err = nil
	}
	return platform.Entry{}, err
}

func (p *Publish) writeBlobs(blobs map[string][]byte) (platform.Entry, error) {
	for digest, content := range blobs {
		if _, err := p.create(revision.BlobKey(digest), content); err != nil {
			return platform.Entry{}, err
		}
	}
	return platform.Entry{}, nil
}

// check compiles the files of a manifest and returns the findings as an error.
func (p *Publish) check(m revision.Manifest) error {
	files := make(map[string][]byte, len(m.Files))
	for path, digest := range m.Files {
		content, ok := p.blobs[digest]
		if !ok {
			content = p.h.Store.entries[revision.BlobKey(digest)].Value
		}
		files[path] = content
	}
	_, findings := config.Compile(files)
	return findings.Err()
}

// handOffCopies is the number of instances that receive an accepted publish directly, so that
// it survives the loss of one of them while the platform is down.
const handOffCopies = 3

// handOff sends the accepted files to running instances, in the order of their ids.
func (p *Publish) handOff(m revision.Manifest) {
	nodes := append([]*Node(nil), p.h.Nodes...)
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].ID < nodes[j].ID })
	p.handOffTo(nodes, handOffCopies, m)
}

// handOffTo tries one instance after another until the given number of them have taken the
// files.
func (p *Publish) handOffTo(nodes []*Node, copies int, m revision.Manifest) {
	if len(nodes) == 0 || copies == 0 {
		return
	}
	p.h.After(p.h.Config.Latency, func() {
		if nodes[0].Running() {
			nodes[0].Step(core.ConfigPublished{Manifest: m.Encode(), Blobs: p.blobs})
			copies--
		}
		p.handOffTo(nodes[1:], copies, m)
	})
}
