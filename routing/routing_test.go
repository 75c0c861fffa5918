package routing_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrywell/bilberrywell/fleet"
	"github.com/bilberrywell/bilberrywell/routing"
)

func table(t *testing.T, c routing.Config) *routing.Table {
	compiled, findings := routing.Compile(c)
	require.Empty(t, findings)
	return compiled
}

func route(name, host, prefix string) routing.Route {
	return routing.Route{Name: name, Host: host, Prefix: prefix, Kind: routing.Idempotent, Shares: []routing.Share{{Service: "s", Weight: 1}}}
}

func ExampleTable_Lookup() {
	compiled, _ := routing.Compile(routing.Config{
		Services: []routing.Service{{ID: "s"}},
		Routes:   []routing.Route{route("all", "shop.example", "/"), route("stock", "shop.example", "/stock/")},
	})
	fmt.Println(compiled.Lookup("shop.example", "/stock/7").Name, compiled.Lookup("Shop.example:80", "/orders").Name)
	// Output: stock all
}

// Guards against a request that is routed by another prefix than the longest one of its path.
func TestLongestPrefixWins(t *testing.T) {
	compiled := table(t, routing.Config{
		Services: []routing.Service{{ID: "s"}},
		Routes: []routing.Route{
			route("a", "h.example", "/a/"), route("ab", "h.example", "/a/b/"), route("other", "i.example", "/"),
		},
	})
	for path, want := range map[string]string{"/a/": "a", "/a/x": "a", "/a/b/": "ab", "/a/b/c/d": "ab", "/a/bc": "a"} {
		found := compiled.Lookup("h.example", path)
		require.NotNil(t, found, path)
		require.Equal(t, want, found.Name, path)
	}
	for _, path := range []string{"/", "/a", "/b/a/", "", "a/"} {
		require.Nil(t, compiled.Lookup("h.example", path), path)
	}
	require.Nil(t, compiled.Lookup("unknown.example", "/a/"))
	require.Equal(t, "other", compiled.Lookup("I.EXAMPLE:8080", "/x").Name)
}

// Guards against a faulty route that makes the rest of the configuration unusable.
func TestFindingsNameTheirPlaceAndLeaveTheRest(t *testing.T) {
	bad := routing.Route{Name: "bad", Host: "", Prefix: "x", Shares: []routing.Share{{Service: "nowhere"}}}
	compiled, findings := routing.Compile(routing.Config{
		Services: []routing.Service{{ID: "s"}},
		Routes:   []routing.Route{bad, route("good", "h.example", "/")},
	})
	var paths []string
	for _, f := range findings {
		paths = append(paths, f.Path)
	}
	require.Equal(t, []string{"routes[0].host", "routes[0].prefix", "routes[0].kind", "routes[0].service"}, paths)
	require.Equal(t, "good", compiled.Lookup("h.example", "/").Name)
}

// Guards against requests with equal keys that go to different services, and against services that
// don't get their share of the requests.
func TestPickKeepsKeysAndShares(t *testing.T) {
	r := routing.Route{Shares: []routing.Share{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}, {Service: "c", Weight: 0}}}
	counts := map[fleet.ServiceID]int{}
	for key := range uint64(10_000) {
		picked := r.PickService(key)
		require.Equal(t, picked, r.PickService(key))
		counts[picked]++
	}
	require.InDelta(t, 9000, counts["a"], 200)
	require.InDelta(t, 1000, counts["b"], 200)
	require.Zero(t, counts["c"])
}

// Guards against repeating requests that may run only once.
func TestRepeatable(t *testing.T) {
	require.True(t, (&routing.Route{Kind: routing.Idempotent}).Repeatable())
	require.False(t, (&routing.Route{Kind: routing.NonIdempotent, Resumable: true}).Repeatable())
	require.False(t, (&routing.Route{Kind: routing.Streaming}).Repeatable())
	require.True(t, (&routing.Route{Kind: routing.Streaming, Resumable: true}).Repeatable())
}

// Guards against a lookup that returns the wrong customer for a key, or one for an unknown key.
func TestCustomersByKey(t *testing.T) {
	compiled := table(t, routing.Config{Customers: []routing.Customer{{ID: "c", Keys: []string{"k1", "k2"}}}})
	require.True(t, compiled.RequiresKey)
	require.Equal(t, fleet.CustomerID("c"), compiled.Customer("k2").ID)
	require.Nil(t, compiled.Customer("k3"))
	require.Nil(t, compiled.Customer(""))
}
