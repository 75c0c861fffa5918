package revision

import (
	"maps"
	"slices"
)

// Outcome is the result of an offer to an Adopter.
type Outcome int

const (
	// Adopted means that the offered version is in force now.
	Adopted Outcome = iota
	// Older means that a higher version is in force or waits for its contents.
	Older
	// Same means that this version is in force already.
	Same
	// Missing means that contents must be fetched first.
	Missing
	// Rejected means that the check refused the contents; the version in force stays.
	Rejected
	// Diverged means that the offered manifest has the version in force but differs from the
	// manifest in force. It is not adopted. Because the head is written by compare-and-swap, this
	// happens only if the platform lost data.
	Diverged
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"adopted", "older", "same", "missing", "rejected", "diverged"}[o]
}

// Result is an outcome with its details.
type Result struct {
	Outcome Outcome
	// Version is the version that the result is about.
	Version uint64
	// Digests lists the contents to fetch, sorted. It is set for Missing.
	Digests []string
	// Err is the error of the check. It is set for Rejected.
	Err error
}

// Adopter holds an instance's configuration. It adopts only versions higher than the one in force.
// It is not safe for concurrent use.
type Adopter struct {
	check   func(files map[string][]byte) error
	current Manifest
	pending *Manifest
	blobs   map[string][]byte
	// rejectedVersion is the last version that the check refused. Offered again, it is not fetched again.
	rejectedVersion uint64
	rejectedErr     error
}

// NewAdopter returns an adopter without a configuration. A version is adopted only if check returns
// nil for its contents; a nil check accepts all.
func NewAdopter(check func(files map[string][]byte) error) *Adopter {
	if check == nil {
		check = func(map[string][]byte) error { return nil }
	}
	return &Adopter{check: check, blobs: map[string][]byte{}}
}

// Current returns the manifest in force. Its version is zero before the first adoption. The
// caller must not change it.
func (a *Adopter) Current() Manifest { return a.current }

// Pending returns the manifest that waits for contents, or nil.
func (a *Adopter) Pending() *Manifest { return a.pending }

// Files returns the contents in force by path. The caller must not change them.
func (a *Adopter) Files() map[string][]byte { return a.contents(a.current) }

// Blob returns the content with the given digest, and false if the adopter does not hold it.
func (a *Adopter) Blob(digest string) ([]byte, bool) {
	content, ok := a.blobs[digest]
	return content, ok
}

// Offer adopts a manifest if it has a higher version and its contents are present. After Missing
// the caller fetches the digests and passes their contents to Add. An offer of a higher version
// replaces the pending one.
func (a *Adopter) Offer(m Manifest) Result {
	if m.Version == a.current.Version && m.Version != 0 {
		return Result{Outcome: a.compareWithCurrent(m), Version: m.Version}
	}
	if m.Version <= a.current.Version || a.pending != nil && m.Version < a.pending.Version {
		return Result{Outcome: Older, Version: m.Version}
	}
	if m.Version == a.rejectedVersion {
		return Result{Outcome: Rejected, Version: m.Version, Err: a.rejectedErr}
	}
	m.Files = maps.Clone(m.Files)
	a.pending = &m
	return a.adoptIfComplete()
}

// compareWithCurrent returns Same or Diverged for a manifest with the version in force.
func (a *Adopter) compareWithCurrent(m Manifest) Outcome {
	if m.PublishID == a.current.PublishID && maps.Equal(m.Files, a.current.Files) {
		return Same
	}
	return Diverged
}

// Add takes a fetched content. It is stored under its digest, so a wrong content cannot replace
// another. A content that the pending manifest does not need is dropped. The second value is false
// if nothing is pending.
func (a *Adopter) Add(content []byte) (Result, bool) {
	if a.pending == nil {
		return Result{}, false
	}
	digest := Digest(content)
	for _, wanted := range a.pending.Files {
		if wanted == digest {
			a.blobs[digest] = slices.Clone(content)
			break
		}
	}
	return a.adoptIfComplete(), true
}

// adoptIfComplete adopts the pending manifest if its contents are complete and pass the check.
func (a *Adopter) adoptIfComplete() Result {
	m := *a.pending
	if missing := a.missingDigests(m); len(missing) > 0 {
		return Result{Outcome: Missing, Version: m.Version, Digests: missing}
	}
	a.pending = nil
	if err := a.check(a.contents(m)); err != nil {
		a.rejectedVersion, a.rejectedErr = m.Version, err
		a.pruneBlobs()
		return Result{Outcome: Rejected, Version: m.Version, Err: err}
	}
	a.current = m
	a.pruneBlobs()
	return Result{Outcome: Adopted, Version: m.Version}
}

// missingDigests returns the digests whose contents are not held, sorted.
func (a *Adopter) missingDigests(m Manifest) []string {
	var digests []string
	for _, digest := range m.Files {
		if _, ok := a.blobs[digest]; !ok {
			digests = append(digests, digest)
		}
	}
	slices.Sort(digests)
	return slices.Compact(digests)
}

func (a *Adopter) contents(m Manifest) map[string][]byte {
	files := make(map[string][]byte, len(m.Files))
	for path, digest := range m.Files {
		files[path] = a.blobs[digest]
	}
	return files
}

// pruneBlobs deletes contents that the version in force does not need.
func (a *Adopter) pruneBlobs() {
	needed := map[string]bool{}
	for _, digest := range a.current.Files {
		needed[digest] = true
	}
	maps.DeleteFunc(a.blobs, func(digest string, _ []byte) bool { return !needed[digest] })
}
