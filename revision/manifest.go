// Package revision implements the versions of the fleet's configuration: manifests that map files
// to digests, their difference and merge, publishing a new version, and adoption by an instance.
// Versions count up without gaps, and a publish that is accepted is never lost to a concurrent one.
//
// The package performs no I/O. A Publisher is a state machine that returns effects; the caller
// performs them against the platform's key-value service and passes the results back.
//
// The key-value service holds the newest manifest under HeadKey and file contents under
// BlobKey. Before a publisher replaces version n in the head, it archives the manifest of
// version n under VersionKey(n). Only a version that was in force is archived, so concurrent
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

// MaxManifestBytes is the largest encoded manifest. The platform limits values to 1 MB.
const MaxManifestBytes = 1 << 20

// Manifest is one version of the configuration.
type Manifest struct {
	// Version counts from 1.
	Version uint64
	// PublishID is unique for each publish. A publisher recognizes by it that a write whose answer
	// was lost took effect.
	PublishID string
	// Files maps a path to the digest of its content.
	Files map[string]string
	// PublishedUnixMilli is the time on the publisher's clock at the start of the publish.
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

var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Decode reads a canonical encoding and checks it.
func Decode(data []byte) (Manifest, error) {
	badManifest := oops.In("revision").Code("bad_manifest")
	if len(data) > MaxManifestBytes {
		return Manifest{}, badManifest.Errorf("manifest has %d bytes, the limit is %d", len(data), MaxManifestBytes)
	}
	var e encoded
	if err := json.Unmarshal(data, &e); err != nil {
		return Manifest{}, badManifest.Wrapf(err, "manifest is not JSON")
	}
	if e.Format != Format {
		return Manifest{}, badManifest.Errorf("manifest has format %d, only %d is supported", e.Format, Format)
	}
	m := Manifest{e.Version, e.PublishID, e.Files, e.PublishedUnixMilli, e.Publisher}
	if m.Version == 0 || m.PublishID == "" {
		return Manifest{}, badManifest.Errorf("manifest lacks a version or publish id")
	}
	for path, digest := range m.Files {
		if path == "" || !digestPattern.MatchString(digest) {
			return Manifest{}, badManifest.Errorf("manifest has an empty path or an invalid digest for file %q", path)
		}
	}
	if !bytes.Equal(m.Encode(), data) {
		return Manifest{}, badManifest.Errorf("manifest is not in canonical form")
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

// String returns one line per file, marked + for added, - for removed and ~ for changed.
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

// Diff returns the changes from the files of a to those of b.
func Diff(a, b Manifest) Difference {
	// The lists are empty rather than nil, so that JSON has [] rather than null.
	d := Difference{Added: []string{}, Removed: []string{}, Changed: []string{}}
	for _, path := range sortedPaths(a.Files, b.Files) {
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

// sortedPaths returns the sorted union of the keys.
func sortedPaths(files ...map[string]string) []string {
	all := map[string]bool{}
	for _, m := range files {
		for path := range m {
			all[path] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// Conflict reports files that two publishers changed in different ways since the same base.
type Conflict struct {
	Files []string
	// HeadPublisher published HeadVersion, which is in force. The version of RefusedPublisher was
	// not published.
	HeadPublisher    string
	HeadVersion      uint64
	RefusedPublisher string
}

// Error names the files and both publishers.
func (c *Conflict) Error() string {
	return fmt.Sprintf("revision: conflict: %s (version %d) and %s both changed %s",
		c.HeadPublisher, c.HeadVersion, c.RefusedPublisher, strings.Join(c.Files, ", "))
}

// Merge applies the changes from base to proposed to head. The result has the version after head
// and the publish id, time and publisher of proposed. Both sides may make the same change; a file
// that they changed in different ways is a conflict.
func Merge(base, head, proposed Manifest) (Manifest, *Conflict) {
	merged := proposed
	merged.Version = head.Version + 1
	merged.Files = maps.Clone(head.Files)
	if merged.Files == nil {
		merged.Files = map[string]string{}
	}
	var conflicts []string
	for _, path := range sortedPaths(base.Files, head.Files, proposed.Files) {
		baseDigest, headDigest, proposedDigest := base.Files[path], head.Files[path], proposed.Files[path]
		switch {
		case proposedDigest == baseDigest || proposedDigest == headDigest:
			continue
		case headDigest != baseDigest:
			conflicts = append(conflicts, path)
		case proposedDigest == "":
			delete(merged.Files, path)
		default:
			merged.Files[path] = proposedDigest
		}
	}
	if len(conflicts) > 0 {
		return Manifest{}, &Conflict{
			Files: conflicts, HeadPublisher: head.Publisher, HeadVersion: head.Version, RefusedPublisher: proposed.Publisher,
		}
	}
	return merged, nil
}
