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

// Publish is a publish in progress, as an operator's tool runs it.
type Publish struct {
	// Done is set at the end, with the accepted manifest or an error.
	Done     bool
	Err      error
	Accepted revision.Manifest
	// AcceptedAt is when the publisher knew of the acceptance.
	AcceptedAt time.Duration

	h         *Harness
	publisher *revision.Publisher
	blobs     map[string][]byte
}

// publishBackoff is the wait before a call is repeated.
const publishBackoff = 200 * time.Millisecond

// StartPublish begins to publish files below a path prefix. After acceptance the files are
// handed to an instance that is up.
func (h *Harness) StartPublish(id, prefix string, files map[string][]byte) *Publish {
	blobs := make(map[string][]byte, len(files))
	for _, content := range files {
		blobs[revision.Digest(content)] = content
	}
	p := &Publish{h: h, blobs: blobs}
	p.publisher = revision.NewPublisher(revision.Request{
		PublishID:          id,
		Publisher:          id,
		PublishedUnixMilli: h.Wall().UnixMilli(),
		Edit:               revision.Edit{Prefixes: []string{prefix}, Files: revision.Digests(files)},
		Blobs:              blobs,
	})
	p.perform(p.publisher.Start())
	return p
}

func (p *Publish) perform(e revision.Effect) {
	if e.Attempt > 1 {
		attempt := e
		attempt.Attempt = 0
		p.h.After(publishBackoff, func() { p.perform(attempt) })
		return
	}
	switch e.Op {
	case revision.OpDone:
		p.Done, p.Accepted, p.AcceptedAt = true, e.Manifest, p.h.now
		p.handOver(e.Manifest)
	case revision.OpFailed:
		p.Done, p.Err = true, e.Err
	case revision.OpReadHead:
		p.call("get", func() (platform.Entry, error) { return p.read(revision.HeadKey) })
	case revision.OpReadVersion:
		p.call("get", func() (platform.Entry, error) { return p.read(e.Key) })
	case revision.OpSwapHead:
		p.call("put", func() (platform.Entry, error) { return p.put(revision.HeadKey, e.Value, e.Expect) })
	case revision.OpArchive:
		p.call("put", func() (platform.Entry, error) { return p.create(e.Key, e.Value) })
	case revision.OpWriteBlobs:
		p.call("put", func() (platform.Entry, error) { return p.writeBlobs(e.Blobs) })
	case revision.OpCheck:
		p.h.After(0, func() { p.step(platform.Entry{}, p.check(e.Manifest)) })
	}
}

// call performs an operation on the platform with its faults.
func (p *Publish) call(kind string, act func() (platform.Entry, error)) {
	s := p.h.Store
	s.Calls[kind]++
	if s.Down {
		p.h.After(p.h.Config.StoreLatency, func() { p.step(platform.Entry{}, platform.ErrUnavailable) })
		return
	}
	d := s.delay()
	p.h.After(d/2, func() {
		entry, err := act()
		lost := kind == "put" && err == nil && s.LoseWrites > 0
		if lost {
			s.LoseWrites--
			err = platform.ErrUnknown
		}
		p.h.After(d/2, func() { p.step(entry, err) })
	})
}

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
	p.perform(p.publisher.Step(reply))
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

// create writes a key unless it exists; an existing one is as good.
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

// handOverCopies is the number of instances that get an accepted publish, so that it
// survives the loss of one of them while the platform is down.
const handOverCopies = 3

// handOver gives the accepted files to instances that answer.
func (p *Publish) handOver(m revision.Manifest) {
	nodes := append([]*Node(nil), p.h.Nodes...)
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].ID < nodes[j].ID })
	p.handOverTo(nodes, handOverCopies, m)
}

// handOverTo tries one instance after another until enough have taken the files.
func (p *Publish) handOverTo(nodes []*Node, copies int, m revision.Manifest) {
	if len(nodes) == 0 || copies == 0 {
		return
	}
	p.h.After(p.h.Config.Latency, func() {
		if nodes[0].Runs() {
			nodes[0].Step(core.ConfigHandoff{Manifest: m.Encode(), Blobs: p.blobs})
			copies--
		}
		p.handOverTo(nodes[1:], copies, m)
	})
}
