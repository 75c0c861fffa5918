package ctl

import (
	"context"
	"encoding/hex"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samber/oops"
	"github.com/sourcegraph/conc/pool"

	"github.com/bilberrywell/bilberrywell/config"
	"github.com/bilberrywell/bilberrywell/internal/platform"
	"github.com/bilberrywell/bilberrywell/revision"
)

const (
	// parallelReads shortens the check of a large bundle without crowding the key-value service.
	parallelReads = 8
	// firstPause and maxPause bound the jittered pause after a failed call.
	firstPause = 50 * time.Millisecond
	maxPause   = time.Second
)

// driver performs the effects of a revision.Publisher against the platform.
type driver struct {
	*call
	// blobs holds every content seen, by digest.
	blobs map[string][]byte
	// head is the manifest that was last read; before is the head under the last check.
	head, before revision.Manifest
}

func (c *call) newDriver() *driver {
	return &driver{call: c, blobs: map[string][]byte{}}
}

// publishID returns an id that is unique in the fleet.
func (c *call) publishID() (string, error) {
	var id [16]byte
	if _, err := io.ReadFull(c.Random, id[:]); err != nil {
		return "", oops.Wrapf(err, "no random numbers")
	}
	return hex.EncodeToString(id[:]), nil
}

// run publishes and returns the last effect, whose operation is OpDone, or an error.
func (d *driver) run(ctx context.Context, request revision.Request) (revision.Effect, error) {
	publisher := revision.NewPublisher(request)
	effect := publisher.Start()
	failures := 0
	for effect.Op != revision.OpDone && effect.Op != revision.OpFailed {
		reply := d.perform(ctx, effect)
		if reply.Status != revision.StatusOK && reply.Status != revision.StatusAbsent && reply.Status != revision.StatusRefused {
			failures++
			d.Sleep(ctx, pause(failures))
		}
		effect = publisher.Step(reply)
	}
	return effect, effect.Err
}

// pause returns a pause with full jitter, so that racing publishers separate.
func pause(failures int) time.Duration {
	limit := min(maxPause, firstPause<<min(failures-1, 10))
	return time.Duration(rand.Int64N(int64(limit))) + 1
}

func (d *driver) perform(ctx context.Context, e revision.Effect) revision.Reply {
	switch e.Op {
	case revision.OpReadHead:
		return d.readHead(ctx)
	case revision.OpReadVersion:
		entry, err := d.store.Get(ctx, e.Key)
		return reply(entry, err)
	case revision.OpCheck:
		return d.check(ctx, e.Manifest)
	case revision.OpWriteBlobs:
		return d.writeBlobs(ctx, e.Blobs)
	case revision.OpArchive:
		return d.create(ctx, e.Key, e.Value)
	default:
		n, err := d.store.CompareAndSwap(ctx, revision.HeadKey, e.Value, e.Expect)
		return reply(platform.Entry{Revision: n}, err)
	}
}

func reply(entry platform.Entry, err error) revision.Reply {
	r := revision.Reply{Value: entry.Value, Revision: entry.Revision, Err: err}
	switch {
	case err == nil:
	case errors.Is(err, platform.ErrNotFound):
		r.Status = revision.StatusAbsent
	case errors.Is(err, platform.ErrConflict):
		r.Status = revision.StatusConflict
	case errors.Is(err, platform.ErrUnavailable):
		r.Status = revision.StatusUnavailable
	case errors.Is(err, platform.ErrUnknown):
		r.Status = revision.StatusUnknown
	default:
		r.Status = revision.StatusRefused
	}
	return r
}

func (d *driver) readHead(ctx context.Context) revision.Reply {
	entry, err := d.store.Get(ctx, revision.HeadKey)
	d.head = revision.Manifest{}
	if err == nil {
		// The publisher reports a head that cannot be decoded.
		d.head, _ = revision.Decode(entry.Value)
	}
	return reply(entry, err)
}

// check compiles all files of a manifest together.
func (d *driver) check(ctx context.Context, m revision.Manifest) revision.Reply {
	d.before = d.head
	files, err := d.contents(ctx, m)
	if err != nil {
		return reply(platform.Entry{}, err)
	}
	if _, findings := config.Compile(files); len(findings) > 0 {
		return revision.Reply{Status: revision.StatusRefused, Err: &findingsError{findings}}
	}
	return revision.Reply{}
}

// contents returns a manifest's files by path, reading those that are not held yet.
func (d *driver) contents(ctx context.Context, m revision.Manifest) (map[string][]byte, error) {
	if err := d.fetch(ctx, m); err != nil {
		return nil, err
	}
	files := make(map[string][]byte, len(m.Files))
	for path, digest := range m.Files {
		files[path] = d.blobs[digest]
	}
	return files, nil
}

func (d *driver) fetch(ctx context.Context, m revision.Manifest) error {
	wanted := map[string]bool{}
	for _, digest := range m.Files {
		if _, ok := d.blobs[digest]; !ok {
			wanted[digest] = true
		}
	}
	var mutex sync.Mutex
	readers := pool.New().WithMaxGoroutines(parallelReads).WithErrors()
	for digest := range wanted {
		readers.Go(func() error {
			content, err := d.readBlob(ctx, digest)
			mutex.Lock()
			defer mutex.Unlock()
			if err == nil {
				d.blobs[digest] = content
			}
			return err
		})
	}
	return readers.Wait()
}

func (d *driver) readBlob(ctx context.Context, digest string) ([]byte, error) {
	entry, err := d.store.Get(ctx, revision.BlobKey(digest))
	if errors.Is(err, platform.ErrNotFound) {
		return nil, oops.In("ctl").Code("missing_blob").Errorf("the content %s of a published file is missing", digest)
	}
	if err == nil && revision.Digest(entry.Value) != digest {
		return nil, oops.In("ctl").Code("bad_blob").Errorf("the content stored as %s has another digest", digest)
	}
	return entry.Value, err
}

// writeBlobs writes the contents that the head does not refer to yet.
func (d *driver) writeBlobs(ctx context.Context, blobs map[string][]byte) revision.Reply {
	stored := map[string]bool{}
	for _, digest := range d.head.Files {
		stored[digest] = true
	}
	for digest, content := range blobs {
		if stored[digest] {
			continue
		}
		if r := d.create(ctx, revision.BlobKey(digest), content); r.Status != revision.StatusOK {
			return r
		}
	}
	return revision.Reply{}
}

// create writes a key whose value never changes. An existing key counts as written.
func (d *driver) create(ctx context.Context, key string, value []byte) revision.Reply {
	_, err := d.store.CompareAndSwap(ctx, key, value, 0)
	if errors.Is(err, platform.ErrConflict) {
		return revision.Reply{}
	}
	return reply(platform.Entry{}, err)
}
