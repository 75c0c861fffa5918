package replica_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bilberrywell/bilberrywell/replica"
)

func init() { _ = flag.Set("rapid.seed", "1") }

func ExampleReplica_Merge() {
	r := replica.New(nil)
	r.Merge([]replica.Fact{{Key: "a", Revision: 5, Value: []byte("new")}})
	changed := r.Merge([]replica.Fact{{Key: "a", Revision: 3, Value: []byte("old")}, {Key: "b", Revision: 4}})
	fmt.Println(len(changed), changed[0].Key)
	// Output: 1 b
}

// Guards against copies that differ because facts arrived in another order, twice or late.
func TestCopiesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []replica.Fact
		for revision := range uint64(rapid.IntRange(1, 30).Draw(t, "changes")) {
			history = append(history, replica.Fact{
				Key:      rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"),
				Revision: revision + 1,
				Value:    []byte(fmt.Sprint(revision % 3)),
				Deleted:  rapid.Bool().Draw(t, "deleted"),
			})
		}
		shuffled := rapid.Permutation(append(history, history...)).Draw(t, "order")
		inOrder, outOfOrder := replica.New(nil), replica.New(nil)
		inOrder.Merge(history)
		for _, f := range shuffled {
			outOfOrder.Merge([]replica.Fact{f})
		}
		require.Equal(t, inOrder.Digest(), outOfOrder.Digest())
		require.Equal(t, inOrder.NewestRevision(), outOfOrder.NewestRevision())
		require.Equal(t, len(inOrder.All()), len(outOfOrder.All()))
	})
}

// Guards against reporting a change when a value is only written again, and against copies that count
// as different because one of them did not get the rewritten value.
func TestRewrittenValueIsNoNews(t *testing.T) {
	firstByte := func(_ string, value []byte) uint64 { return uint64(value[0]) }
	source, follower := replica.New(firstByte), replica.New(firstByte)
	put := func(revision uint64, value string) []replica.Fact {
		return source.Merge([]replica.Fact{{Key: "a", Revision: revision, Value: []byte(value)}})
	}
	follower.Merge(put(1, "x1"))
	require.Empty(t, put(2, "x2"))
	require.Empty(t, put(3, "x3"))
	require.Equal(t, source.Digest(), follower.Digest())
	require.Empty(t, follower.Differing(source.BucketDigests()))
	latest, _ := source.Get("a")
	require.Equal(t, "x3", string(latest.Value))

	require.Empty(t, put(2, "y"), "older than what is held")
	follower.Merge(put(5, "y"))
	require.Equal(t, source.Digest(), follower.Digest())
	follower.Merge(put(6, "x4"))
	require.Empty(t, follower.Merge([]replica.Fact{{Key: "a", Revision: 5, Value: []byte("y")}}))
	require.Equal(t, source.Digest(), follower.Digest())
}

// Guards against a missed change when a key is deleted and written again with the same value between
// two reads.
func TestDeletedAndWrittenAgain(t *testing.T) {
	r := replica.New(nil)
	r.Merge([]replica.Fact{{Key: "a", Revision: 1, Value: []byte("x")}})
	digest := r.Digest()
	changed := r.Merge([]replica.Fact{{Key: "a", Revision: 2, Deleted: true}, {Key: "a", Revision: 3, Value: []byte("x")}})
	require.Len(t, changed, 1)
	require.False(t, changed[0].Deleted)
	require.Equal(t, digest, r.Digest())
}

// Guards against a deleted key that a late fact restores.
func TestTombstoneHoldsLateFacts(t *testing.T) {
	r := replica.New(nil)
	require.Len(t, r.Merge([]replica.Fact{{Key: "a", Revision: 1}}), 1)
	require.Len(t, r.Merge([]replica.Fact{{Key: "a", Revision: 3, Deleted: true}}), 1)
	require.Empty(t, r.Merge([]replica.Fact{{Key: "a", Revision: 2}}))
	_, ok := r.Get("a")
	require.False(t, ok)
	require.Len(t, r.Merge([]replica.Fact{{Key: "a", Revision: 4}}), 1)
	// A deletion that arrives before any other fact about its key.
	require.Empty(t, r.Merge([]replica.Fact{{Key: "b", Revision: 9, Deleted: true}}))
	require.Empty(t, r.Merge([]replica.Fact{{Key: "b", Revision: 8}}))
}

// Guards against a fact that restores a key which a complete list lacked, and against a list that keeps facts
// away which it does not cover.
func TestListHoldsLateFacts(t *testing.T) {
	r := replica.New(nil)
	r.Reset("p/", []replica.Fact{{Key: "p/listed", Revision: 3}}, 10)
	require.Empty(t, r.Merge([]replica.Fact{{Key: "p/gone", Revision: 10}}))
	require.Len(t, r.Merge([]replica.Fact{{Key: "p/new", Revision: 11}, {Key: "q/other", Revision: 4}, {Key: "p/listed", Revision: 12, Value: []byte("x")}}), 3)
	r.Reset("p/", nil, 5)
	require.Empty(t, r.Merge([]replica.Fact{{Key: "p/gone", Revision: 9}}), "an older list does not count")
}

// Guards against a list that deletes keys which were written after it was begun, or which it does
// not cover.
func TestResetDeletesOnlyWhatTheListCovers(t *testing.T) {
	r := replica.New(nil)
	r.Merge([]replica.Fact{{Key: "p/gone", Revision: 2}, {Key: "p/kept", Revision: 3}, {Key: "p/later", Revision: 12}, {Key: "q/other", Revision: 4}})
	changed := r.Reset("p/", []replica.Fact{{Key: "p/kept", Revision: 3}, {Key: "p/new", Revision: 7}}, 10)
	var keys []string
	for _, f := range changed {
		keys = append(keys, fmt.Sprint(f.Key, f.Deleted))
	}
	require.Equal(t, []string{"p/newfalse", "p/gonetrue"}, keys)
	for _, key := range []string{"p/kept", "p/later", "p/new", "q/other"} {
		_, ok := r.Get(key)
		require.True(t, ok, key)
	}
}
