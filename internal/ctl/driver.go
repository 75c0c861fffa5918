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
	// maxParallelReads is the most files that are read in parallel. Parallel reads shorten the
	// check of a large bundle; the bound avoids overloading the key-value service.
	maxParallelReads = 8
	// firstRetryDelay bounds the delay with jitter after the first failed call. The bound doubles
	// with each failure up to maxRetryDelay.
	firstRetryDelay = 50 * time.Millisecond
	maxRetryDelay   = time.Second
)

// driver executes the effects of a revision.Publisher with calls to the platform.
type driver struct {
	*invocation
	// blobs holds the contents of all files that were loaded or read, by digest.
	blobs map[string][]byte
	// head is the published manifest that was last read. checkedHead is the head at the last check.
	head, checkedHead revision.Manifest
}

func (c *invocation) newDriver() *driver {
	return &driver{invocation: c, blobs: map[string][]byte{}}
}

// publishID returns a random id for a publish, unique in the fleet.
func (c *invocation) publishID() (string, error) {
	var id [16]byte
	if _, err := io.ReadFull(c.Random, id[:]); err != nil {
		return "", oops.Wrapf(err, "the random source cannot be read")
	}
	return hex.EncodeToString(id[:]), nil
}

// runPublisher executes a publisher's effects until it ends. It returns the last effect, whose
// operation is OpDone, or an error.
func (d *driver) runPublisher(ctx context.Context, request revision.Request) (revision.Effect, error) {
	publisher := revision.NewPublisher(request)
	effect := publisher.Start()
	failures := 0
	for effect.Op != revision.OpDone && effect.Op != revision.OpFailed {
		reply := d.perform(ctx, effect)
		if reply.Status != revision.StatusOK && reply.Status != revision.StatusAbsent && reply.Status != revision.StatusRefused {
			failures++
			d.Sleep(ctx, retryDelay(failures))
		}
		effect = publisher.Step(reply)
	}
	return effect, effect.Err
}

// retryDelay returns a delay with full jitter, so that concurrent publishers do not retry at the
// same time.
func retryDelay(failures int) time.Duration {
	limit := min(maxRetryDelay, firstRetryDelay<<min(failures-1, 10))
	return time.Duration(rand.Int64N(int64(limit))) + 1
}

// perform executes one effect and returns the platform's reply.
func (d *driver) perform(ctx context.Context, e revision.Effect) revision.Reply {
	switch e.Op {
	case revision.OpReadHead:
		return d.readHeadReply(ctx)
	case revision.OpReadVersion:
		entry, err := d.store.Get(ctx, e.Key)
		return newReply(entry, err)
	case revision.OpCheck:
		return d.checkManifest(ctx, e.Manifest)
	case revision.OpWriteBlobs:
		return d.writeBlobs(ctx, e.Blobs)
	case revision.OpArchive:
		return d.createKey(ctx, e.Key, e.Value)
	default: // revision.OpSwapHead
		n, err := d.store.CompareAndSwap(ctx, revision.HeadKey, e.Value, e.Expect)
		return newReply(platform.Entry{Revision: n}, err)
	}
}

// newReply returns the reply for a result of the store.
func newReply(entry platform.Entry, err error) revision.Reply {
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

// readHeadReply reads the published manifest into d.head.
func (d *driver) readHeadReply(ctx context.Context) revision.Reply {
	entry, err := d.store.Get(ctx, revision.HeadKey)
	d.head = revision.Manifest{}
	if err == nil {
		// The publisher reports a head that cannot be decoded.
		d.head, _ = revision.Decode(entry.Value)
	}
	return newReply(entry, err)
}

// checkManifest compiles all files of a manifest together.
func (d *driver) checkManifest(ctx context.Context, m revision.Manifest) revision.Reply {
	d.checkedHead = d.head
	files, err := d.contents(ctx, m)
	if err != nil {
		return newReply(platform.Entry{}, err)
	}
	if _, findings := config.Compile(files); len(findings) > 0 {
		return revision.Reply{Status: revision.StatusRefused, Err: &findingsError{findings}}
	}
	return revision.Reply{}
}

// contents returns the contents of a manifest's files by path. It reads those that are not in
// blobs from the platform.
func (d *driver) contents(ctx context.Context, m revision.Manifest) (map[string][]byte, error) {
	if err := d.fetchBlobs(ctx, m); err != nil {
		return nil, err
	}
	files := make(map[string][]byte, len(m.Files))
	for path, digest := range m.Files {
		files[path] = d.blobs[digest]
	}
	return files, nil
}

// fetchBlobs reads the contents of a manifest's files that are not in blobs.
func (d *driver) fetchBlobs(ctx context.Context, m revision.Manifest) error {
	wanted := map[string]bool{}
	for _, digest := range m.Files {
		if _, ok := d.blobs[digest]; !ok {
			wanted[digest] = true
		}
	}
	var mutex sync.Mutex
	readers := pool.New().WithMaxGoroutines(maxParallelReads).WithErrors()
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

// readBlob reads the content with a digest and checks that it has this digest.
func (d *driver) readBlob(ctx context.Context, digest string) ([]byte, error) {
	entry, err := d.store.Get(ctx, revision.BlobKey(digest))
	if errors.Is(err, platform.ErrNotFound) {
		return nil, oops.In("ctl").Code("missing_blob").Errorf("the content %s of a published file is missing", digest)
	}
	if err == nil && revision.Digest(entry.Value) != digest {
		return nil, oops.In("ctl").Code("bad_blob").Errorf("the content stored under digest %s has a different digest", digest)
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
		if r := d.createKey(ctx, revision.BlobKey(digest), content); r.Status != revision.StatusOK {
			return r
		}
	}
	return revision.Reply{}
}

// createKey writes a key whose value never changes. An existing key counts as written.
func (d *driver) createKey(ctx context.Context, key string, value []byte) revision.Reply {
	_, err := d.store.CompareAndSwap(ctx, key, value, 0)
	if errors.Is(err, platform.ErrConflict) {
		return revision.Reply{}
	}
	return newReply(platform.Entry{}, err)
}
