package revision_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bilberrywell/bilberrywell/revision"
)

// TestMain fixes rapid's seed, so that each run gives the same result. The flag overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// Guards against encodings that differ for equal manifests and against accepting invalid ones.
func TestManifestEncoding(t *testing.T) {
	m := revision.Manifest{Version: 3, PublishID: "p3", Publisher: "aya", PublishedUnixMilli: 1796342400000,
		Files: map[string]string{"b.yaml": revision.Digest([]byte("<b>")), "a.yaml": revision.Digest(nil)}}
	decoded, err := revision.Decode(m.Encode())
	require.NoError(t, err)
	require.Equal(t, m, decoded)
	for _, bad := range []string{"", "[]", `{"format":2}`, " " + string(m.Encode()),
		string(revision.Manifest{Version: 1}.Encode()),
		string(revision.Manifest{Version: 1, PublishID: "p", Files: map[string]string{"a": "xyz"}}.Encode())} {
		_, err := revision.Decode([]byte(bad))
		require.Error(t, err, bad)
	}
}

// Guards against a merge that loses one side's change or accepts a file that both sides changed in
// different ways.
func TestMerge(t *testing.T) {
	files := func(kv ...string) map[string]string {
		m := map[string]string{}
		for i := 0; i < len(kv); i += 2 {
			m[kv[i]] = kv[i+1]
		}
		return m
	}
	base := revision.Manifest{Version: 1, Files: files("a", "1", "b", "1", "c", "1", "d", "1")}
	head := revision.Manifest{Version: 4, Publisher: "aya", Files: files("a", "2", "b", "1", "c", "3", "e", "1")}
	proposed := revision.Manifest{PublishID: "m", Publisher: "ben", Files: files("a", "1", "b", "5", "c", "3", "f", "1")}
	merged, conflict := revision.Merge(base, head, proposed)
	require.Nil(t, conflict)
	require.Equal(t, uint64(5), merged.Version)
	require.Equal(t, files("a", "2", "b", "5", "c", "3", "e", "1", "f", "1"), merged.Files)
	proposed.Files["a"] = "9"
	proposed.Files["d"] = "9"
	_, conflict = revision.Merge(base, head, proposed)
	require.EqualError(t, conflict, "revision: conflict: aya (version 4) and ben both changed a, d")
	require.Equal(t, "~ a\n~ c\n- d\n+ e", revision.Diff(base, head).String())
}

// Guards against adoption of incomplete, rejected, older or diverged versions.
func TestAdopterOutcomes(t *testing.T) {
	errRefused := errors.New("bad content")
	adopter := revision.NewAdopter(func(files map[string][]byte) error {
		if string(files["a"]) == "bad" {
			return errRefused
		}
		return nil
	})
	version := func(n uint64, content string) revision.Manifest {
		return revision.Manifest{Version: n, PublishID: fmt.Sprint("p", n, content), Files: map[string]string{"a": revision.Digest([]byte(content))}}
	}
	require.Equal(t, []string{revision.Digest([]byte("two"))}, adopter.Offer(version(2, "two")).Digests)
	require.Equal(t, revision.Older, adopter.Offer(version(1, "one")).Outcome)
	result, _ := adopter.Add([]byte("forged"))
	require.Equal(t, revision.Missing, result.Outcome)
	result, _ = adopter.Add([]byte("two"))
	require.Equal(t, revision.Adopted, result.Outcome)
	require.Equal(t, revision.Same, adopter.Offer(version(2, "two")).Outcome)
	require.Equal(t, revision.Diverged, adopter.Offer(version(2, "other")).Outcome)
	adopter.Offer(version(3, "bad"))
	result, _ = adopter.Add([]byte("bad"))
	require.Equal(t, revision.Rejected, result.Outcome)
	require.ErrorIs(t, adopter.Offer(version(3, "bad")).Err, errRefused)
	require.Equal(t, "two", string(adopter.Files()["a"]))
	require.Equal(t, revision.Adopted, adopter.Offer(version(4, "two")).Outcome)
}

// store is a model of the key-value service. Its answers may be lost, and its writes may be lost or
// take effect late.
type store struct {
	t           *rapid.T
	values      map[string][]byte
	revisions   map[string]uint64
	lateWrites  []func()
	headHistory []revision.Manifest
}

func (s *store) swap(key string, value []byte, expect uint64) bool {
	if s.revisions[key] != expect {
		return false
	}
	s.revisions[key]++
	s.values[key] = value
	if key == revision.HeadKey {
		m, err := revision.Decode(value)
		require.NoError(s.t, err)
		require.Equal(s.t, uint64(len(s.headHistory)+1), m.Version, "versions count up without gaps")
		s.headHistory = append(s.headHistory, m)
	}
	return true
}

func (s *store) perform(e revision.Effect) revision.Reply {
	fault := rapid.SampledFrom([]string{"", "", "", "refused", "lost", "never", "late"}).Draw(s.t, "fault")
	if fault == "refused" {
		return revision.Reply{Status: revision.StatusUnavailable}
	}
	switch e.Op {
	case revision.OpReadHead:
		return s.read(revision.HeadKey)
	case revision.OpReadVersion:
		return s.read(e.Key)
	case revision.OpArchive:
		return s.write(fault, e.Key, e.Value, 0, revision.StatusOK)
	case revision.OpSwapHead:
		return s.write(fault, revision.HeadKey, e.Value, e.Expect, revision.StatusConflict)
	}
	return revision.Reply{}
}

func (s *store) read(key string) revision.Reply {
	if s.revisions[key] == 0 {
		return revision.Reply{Status: revision.StatusAbsent}
	}
	return revision.Reply{Value: s.values[key], Revision: s.revisions[key]}
}

func (s *store) write(fault, key string, value []byte, expect uint64, conflict revision.Status) revision.Reply {
	switch fault {
	case "never":
		return revision.Reply{Status: revision.StatusUnknown}
	case "late":
		s.lateWrites = append(s.lateWrites, func() { s.swap(key, value, expect) })
		return revision.Reply{Status: revision.StatusUnknown}
	}
	ok := s.swap(key, value, expect)
	switch {
	case fault == "lost":
		return revision.Reply{Status: revision.StatusUnknown}
	case !ok:
		return revision.Reply{Status: conflict}
	}
	return revision.Reply{Revision: s.revisions[key]}
}

// Guards against a version that decreases, an accepted publish that is lost or applied twice, and a
// publish that took effect but is reported as failed.
func TestRacingPublishersWithLostAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &store{t: t, values: map[string][]byte{}, revisions: map[string]uint64{}}
		count := rapid.IntRange(1, 5).Draw(t, "publishers")
		publishers, effects := make([]*revision.Publisher, count), make([]revision.Effect, count)
		for i := range publishers {
			path := fmt.Sprintf("team-%d/a.yaml", rapid.IntRange(0, 3).Draw(t, "path"))
			digest := revision.Digest(fmt.Append(nil, "content", i))
			publishers[i] = revision.NewPublisher(revision.Request{PublishID: fmt.Sprint("p", i), Publisher: fmt.Sprint("op", i), MaxMerges: 3, MaxAttempts: 2,
				Edit: revision.Edit{Prefixes: []string{path}, Files: map[string]string{path: digest}}})
			effects[i] = publishers[i].Start()
		}
		adopter := revision.NewAdopter(nil)
		running := count
		for running > 0 {
			i := rapid.IntRange(0, count-1).Draw(t, "next")
			for done(effects[i]) {
				i = (i + 1) % count
			}
			effects[i] = publishers[i].Step(s.perform(effects[i]))
			if done(effects[i]) {
				running--
			}
			if len(s.lateWrites) > 0 && rapid.Bool().Draw(t, "land") {
				s.lateWrites[0]()
				s.lateWrites = s.lateWrites[1:]
			}
			offerRandomVersion(t, adopter, s)
		}
		for _, lateWrite := range s.lateWrites {
			lateWrite()
		}
		checkHistory(t, s, effects)
	})
}

func done(e revision.Effect) bool { return e.Op == revision.OpDone || e.Op == revision.OpFailed }

func offerRandomVersion(t *rapid.T, adopter *revision.Adopter, s *store) {
	if len(s.headHistory) == 0 {
		return
	}
	before := adopter.Current().Version
	m := rapid.SampledFrom(s.headHistory).Draw(t, "offered")
	adopter.Offer(m)
	for i := range 5 {
		adopter.Add(fmt.Append(nil, "content", i))
	}
	require.Equal(t, max(before, m.Version), adopter.Current().Version)
}

func checkHistory(t *rapid.T, s *store, effects []revision.Effect) {
	publishCount := map[string]int{}
	for i, m := range s.headHistory {
		publishCount[m.PublishID]++
		previous := map[string]string{}
		if i > 0 {
			previous = s.headHistory[i-1].Files
		}
		d := revision.Diff(revision.Manifest{Files: previous}, m)
		require.Empty(t, d.Removed)
		require.Equal(t, 1, len(d.Added)+len(d.Changed), "a version changes its publisher's file only")
	}
	for i, e := range effects {
		accepted := publishCount[fmt.Sprint("p", i)]
		require.LessOrEqual(t, accepted, 1)
		if e.Op == revision.OpDone {
			require.Equal(t, 1, accepted, "an accepted publish is in the history")
			continue
		}
		if !errors.Is(e.Err, revision.ErrOutcomeUnknown) {
			require.Zero(t, accepted, "%v", e.Err)
		}
	}
}

func ExamplePublisher() {
	old := revision.Manifest{Version: 1, PublishID: "p1", Publisher: "aya", Files: map[string]string{}}
	publisher := revision.NewPublisher(revision.Request{
		PublishID: "p2", Publisher: "ben",
		Edit:  revision.Edit{Prefixes: []string{"chat/"}, Files: map[string]string{"chat/a.yaml": revision.Digest([]byte("limits: {}"))}},
		Blobs: map[string][]byte{revision.Digest([]byte("limits: {}")): []byte("limits: {}")},
	})
	effect := publisher.Start()
	for _, reply := range []revision.Reply{
		{Value: old.Encode(), Revision: 7}, // the head
		{}, {}, {},                         // check, blobs, archive
		{Status: revision.StatusUnknown},   // the answer to the head write is lost
		{Value: old.Encode(), Revision: 7}, // it had no effect
		{}, {}, {}, {Revision: 8},          // check, blobs, archive, head
	} {
		effect = publisher.Step(reply)
	}
	fmt.Println(effect.Op == revision.OpDone, effect.Manifest.Version)
	// Output: true 2
}
