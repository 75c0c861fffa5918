// Package revision holds the versions of the fleet's configuration: manifests that map files
// to digests, their difference and merge, the adoption by an instance, and publishing.
//
// The package is pure. Publishing is a state machine whose effects are data; the caller
// performs them against the platform's key-value service and feeds the results back.
//
// The key-value service holds the newest manifest under HeadKey and file contents under
// BlobKey. Before a publisher moves the head from version n, it archives the manifest of
// version n under VersionKey(n). Only a version that was in force is archived, so racing
// publishers write the same bytes there.
package revision

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"

	"github.com/samber/oops"
)

// HeadKey is the key of the manifest in force.
const HeadKey = "config/head"

// BlobKey returns the key of a file's content.
func BlobKey(digest string) string { return "config/blob/" + digest }

// VersionKey returns the key of the archived manifest of a version that is no longer the head.
func VersionKey(version uint64) string { return fmt.Sprintf("config/version/%d", version) }

// Format is the version of the manifest's encoding.
const Format = 1

// MaxManifestBytes keeps an encoded manifest within the platform's value limit of 1 MB.
const MaxManifestBytes = 1 << 20

// Manifest is one version of the configuration.
type Manifest struct {
	// Version counts from 1.
	Version uint64
	// PublishID is unique for each run of a publish. It tells a publisher whether a write whose
	// answer was lost took effect.
	PublishID string
	// Files maps a path to the digest of its content.
	Files map[string]string
	// PublishedUnixMilli is the publisher's clock at the start of the publish.
	PublishedUnixMilli int64
	// Publisher names the person or program that published.
	Publisher string
}

// encoded fixes the field order of the canonical form. Map keys are sorted by encoding/json.
type encoded struct {
	Format             int               `json:"format"`
	Version            uint64            `json:"version"`
	PublishID          string            `json:"publish_id"`
	Publisher          string            `json:"publisher"`
	PublishedUnixMilli int64             `json:"published_unix_milli"`
	Files              map[string]string `json:"files"`
}

// Digest returns the lowercase hex SHA-256 of content.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Digests returns the digest of each file.
func Digests(files map[string][]byte) map[string]string {
	out := make(map[string]string, len(files))
	for path, content := range files {
		out[path] = Digest(content)
	}
	return out
}

// Encode returns the canonical encoding: equal manifests have equal bytes.
func (m Manifest) Encode() []byte {
	files := m.Files
	if files == nil {
		files = map[string]string{}
	}
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	// Encoding strings, numbers and a map of strings cannot fail.
	_ = encoder.Encode(encoded{Format, m.Version, m.PublishID, m.Publisher, m.PublishedUnixMilli, files})
	return out.Bytes()
}

var digestForm = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Decode reads a canonical encoding and checks it.
func Decode(data []byte) (Manifest, error) {
	fault := oops.In("revision").Code("bad_manifest")
	if len(data) > MaxManifestBytes {
		return Manifest{}, fault.Errorf("manifest has %d bytes, the limit is %d", len(data), MaxManifestBytes)
	}
	var e encoded
	if err := json.Unmarshal(data, &e); err != nil {
		return Manifest{}, fault.Wrapf(err, "manifest is not JSON")
	}
	if e.Format != Format {
		return Manifest{}, fault.Errorf("manifest has format %d, known is %d", e.Format, Format)
	}
	m := Manifest{e.Version, e.PublishID, e.Files, e.PublishedUnixMilli, e.Publisher}
	if m.Version == 0 || m.PublishID == "" {
		return Manifest{}, fault.Errorf("manifest lacks a version or publish id")
	}
	for path, digest := range m.Files {
		if path == "" || !digestForm.MatchString(digest) {
			return Manifest{}, fault.Errorf("manifest has a bad digest for file %q", path)
		}
	}
	if !bytes.Equal(m.Encode(), data) {
		return Manifest{}, fault.Errorf("manifest is not in canonical form")
	}
	return m, nil
}

// Difference lists the paths that differ between two manifests, each list sorted.
type Difference struct {
	Added   []string `json:"added"`
	Removed []string `json:"removed"`
	Changed []string `json:"changed"`
}

// Empty reports whether no file differs.
func (d Difference) Empty() bool {
	return len(d.Added)+len(d.Removed)+len(d.Changed) == 0
}

// String returns one line a file: + added, - removed, ~ changed.
func (d Difference) String() string {
	var lines []string
	for mark, paths := range map[string][]string{"+ ": d.Added, "- ": d.Removed, "~ ": d.Changed} {
		for _, path := range paths {
			lines = append(lines, mark+path)
		}
	}
	slices.SortFunc(lines, func(a, b string) int { return strings.Compare(a[2:], b[2:]) })
	return strings.Join(lines, "\n")
}

// Diff returns what leads from the files of a to those of b.
func Diff(a, b Manifest) Difference {
	// Empty lists rather than nil give [] in JSON.
	d := Difference{Added: []string{}, Removed: []string{}, Changed: []string{}}
	for _, path := range paths(a.Files, b.Files) {
		before, inA := a.Files[path]
		after, inB := b.Files[path]
		switch {
		case !inA:
			d.Added = append(d.Added, path)
		case !inB:
			d.Removed = append(d.Removed, path)
		case before != after:
			d.Changed = append(d.Changed, path)
		}
	}
	return d
}

// paths returns the sorted union of the keys.
func paths(files ...map[string]string) []string {
	all := map[string]bool{}
	for _, m := range files {
		for path := range m {
			all[path] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// Conflict reports files that two publishers changed in different ways from the same base.
type Conflict struct {
	Files []string
	// Head published HeadVersion, which is in force; Mine was not published.
	Head        string
	HeadVersion uint64
	Mine        string
}

// Error names the files and both publishers.
func (c *Conflict) Error() string {
	return fmt.Sprintf("revision: conflict: %s (version %d) and %s both changed %s",
		c.Head, c.HeadVersion, c.Mine, strings.Join(c.Files, ", "))
}

// Merge applies the changes from base to mine on head. The result has the version after head
// and the publish id, time and publisher of mine. Both sides may make the same change; a file
// changed in two ways is a conflict.
func Merge(base, head, mine Manifest) (Manifest, *Conflict) {
	merged := mine
	merged.Version = head.Version + 1
	merged.Files = maps.Clone(head.Files)
	if merged.Files == nil {
		merged.Files = map[string]string{}
	}
	var conflicts []string
	for _, path := range paths(base.Files, head.Files, mine.Files) {
		was, theirs, ours := base.Files[path], head.Files[path], mine.Files[path]
		switch {
		case ours == was || ours == theirs:
			continue
		case theirs != was:
			conflicts = append(conflicts, path)
		case ours == "":
			delete(merged.Files, path)
		default:
			merged.Files[path] = ours
		}
	}
	if len(conflicts) > 0 {
		return Manifest{}, &Conflict{Files: conflicts, Head: head.Publisher, HeadVersion: head.Version, Mine: mine.Publisher}
	}
	return merged, nil
}
