package replica_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bilberrywell/bilberrywell/replica"
)

func ExampleRevisionOf() {
	before, after := replica.RevisionOf(1, 900), replica.RevisionOf(2, 850)
	fmt.Println(before < after, replica.Era(after), replica.Number(after), replica.FormatRevision(after))
	// Output: true 2 850 2.850
}

// Guards against eras and counts that run into each other at their limits.
func TestRevisionLimits(t *testing.T) {
	highest := replica.RevisionOf(replica.MaxEra, replica.MaxNumber)
	require.Equal(t, ^uint64(0), highest)
	require.Equal(t, uint64(replica.MaxEra), replica.Era(highest))
	require.Less(t, replica.RevisionOf(3, replica.MaxNumber), replica.RevisionOf(4, 0))
	require.Equal(t, "17", replica.FormatRevision(17), "stores without eras")
}

// Guards against a change that is ignored because a restored store gives out its revision again, and against a
// fact of the era before that undoes it.
func TestLaterEraReplacesHigherNumbers(t *testing.T) {
	r := replica.New(nil)
	r.Reset("", []replica.Fact{{Key: "a", Revision: replica.RevisionOf(1, 33), Value: []byte("before")}}, replica.RevisionOf(1, 33))
	require.Len(t, r.Merge([]replica.Fact{{Key: "a", Revision: replica.RevisionOf(2, 33), Value: []byte("after")}}), 1)
	require.Empty(t, r.Merge([]replica.Fact{{Key: "a", Revision: replica.RevisionOf(1, 40), Value: []byte("late")}}))
	held, _ := r.Get("a")
	require.Equal(t, "after", string(held.Value))
	require.Len(t, r.Reset("", nil, replica.RevisionOf(2, 34)), 1)
	require.Empty(t, r.Merge([]replica.Fact{{Key: "b", Revision: replica.RevisionOf(1, 50)}}), "older than a list that lacked it")
}

// Guards against a numbered value that an older one, or a list without it, replaces because the store was restored.
func TestHigherVersionStays(t *testing.T) {
	r := replica.New(nil)
	r.Merge([]replica.Fact{{Key: "c", Version: 11, Revision: replica.RevisionOf(1, 90)}})
	require.Empty(t, r.Merge([]replica.Fact{{Key: "c", Version: 8, Revision: replica.RevisionOf(2, 40)}}))
	require.Empty(t, r.Reset("", nil, replica.RevisionOf(2, 41)))
	require.Empty(t, r.Merge([]replica.Fact{{Key: "c", Version: 11, Revision: replica.RevisionOf(2, 42)}}), "the same value again")
	held, ok := r.Get("c")
	require.True(t, ok)
	require.Equal(t, replica.RevisionOf(2, 42), held.Revision)
	require.Len(t, r.Merge([]replica.Fact{{Key: "c", Version: 12, Revision: replica.RevisionOf(1, 95), Value: []byte("x")}}), 1, "the next version, read before the restore")
}

// Guards against copies that differ because facts of several eras, of numbered and unnumbered values, arrived in
// another order.
func TestCopiesOfSeveralErasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []replica.Fact
		for i := range rapid.IntRange(1, 30).Draw(t, "changes") {
			f := replica.Fact{
				Key:      rapid.SampledFrom([]string{"a", "b", "numbered"}).Draw(t, "key"),
				Revision: replica.RevisionOf(rapid.Uint64Range(1, 3).Draw(t, "era"), rapid.Uint64Range(1, 9).Draw(t, "number")),
			}
			// A revision belongs to one state of a key.
			f.Value = []byte(fmt.Sprint(f.Revision % 5))
			f.Deleted = f.Revision%3 == 0
			if f.Key == "numbered" {
				f.Version, f.Deleted = 1+uint64(i%4), false
				f.Value = []byte(fmt.Sprint(f.Version))
			}
			history = append(history, f)
		}
		inOrder, outOfOrder := replica.New(nil), replica.New(nil)
		inOrder.Merge(history)
		for _, f := range rapid.Permutation(append(history, history...)).Draw(t, "order") {
			outOfOrder.Merge([]replica.Fact{f})
		}
		require.Equal(t, inOrder.Digest(), outOfOrder.Digest())
		for _, f := range history {
			a, presentA := inOrder.Get(f.Key)
			b, presentB := outOfOrder.Get(f.Key)
			require.Equal(t, presentA, presentB)
			require.Equal(t, a, b)
		}
	})
}
