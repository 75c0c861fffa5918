// Package routing compiles a published configuration of routes, services, customers and limits into
// a Table, which finds the route and the customer of a request.
//
// A Table is built once per version and is read-only afterwards, so that a request can use the same
// Table from start to end.
package routing

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/bilberrywell/bilberrywell/fleet"
)

// Kind is the kind of a route's requests: whether they may be repeated and how they are answered.
type Kind uint8

// Kinds of routes.
const (
	// Idempotent requests may run any number of times.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once per attempt of the caller.
	NonIdempotent
	// Streaming requests are answered by a series of events. They may be repeated only if the route is
	// resumable.
	Streaming
)

// String returns the kind's name as used in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non_idempotent"
	case Streaming:
		return "streaming"
	}
	return "unknown"
}

// Share is a service that gets a part of a route's requests.
type Share struct {
	Service fleet.ServiceID
	// Weight is the service's part relative to the weights of the route's other shares.
	Weight int
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name string
	// Host is in lower case. Prefix begins and ends with a slash.
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time until a request has its final answer.
	Timeout time.Duration
	// TargetLatency is the time within which an answer, or the first event of a stream, is on time.
	TargetLatency time.Duration
	// TargetGap is the longest pause between two events with which a stream is on time; 0 if it is
	// not declared.
	TargetGap time.Duration
	// CallerPatience is how long callers of a stream wait for its first or next event before they disconnect; 0 if it
	// is unknown.
	CallerPatience time.Duration
	// Priority is the rank of the route's requests; 0 is the most urgent.
	Priority int
	Shares   []Share
	// MaxAttempts is the maximum number of engines that may run one request.
	MaxAttempts int
	// Anonymous routes need no API key.
	Anonymous bool
	// Affinity is set if requests carry a description of their prompt, by which they are sent to an
	// engine that is likely to have it cached.
	Affinity bool
	// Resumable streams can be continued by another engine after the last delivered event.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// ResumableStream reports whether another engine may go on with a response of the route, also for a caller that requests
// the rest.
func (r *Route) ResumableStream() bool { return r.Kind == Streaming && r.Resumable }

// PickService returns the service of a request, by the weights of the route's shares. Requests with
// equal keys get the same service, so that a conversation stays with the service that has cached it.
func (r *Route) PickService(key uint64) fleet.ServiceID {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total == 0 {
		return ""
	}
	offset := int(fleet.Hash("share", fmt.Sprint(key)) % uint64(total))
	for _, s := range r.Shares {
		if offset < s.Weight {
			return s.Service
		}
		offset -= s.Weight
	}
	return ""
}

// Service is a pool of engines that routes refer to.
type Service struct {
	ID fleet.ServiceID
	// MaxConnections is the maximum number of connections that one engine accepts from all callers.
	MaxConnections int
	// CacheTokens is the size of a model engine's cache in tokens; 0 for plain services.
	CacheTokens int
	// WarmUpTime is how long an engine is cold after its start, and WarmUpRate the number of requests a second that it
	// then tolerates from all instances together. Engines are never cold if the rate is 0.
	WarmUpTime time.Duration
	WarmUpRate float64
}

// maxWarmUpTime bounds the time for which an engine counts as cold.
const maxWarmUpTime = 10 * time.Minute

// checkWarmUp replaces values of a service that can't be used, and returns a finding for each. path is the service's
// path in the configuration.
func (s *Service) checkWarmUp(path string) []Finding {
	var findings []Finding
	if s.WarmUpTime < 0 || s.WarmUpTime > maxWarmUpTime {
		findings = append(findings, Finding{path + ".cold_start_s", fmt.Sprintf("%s is not between 0 and %s", s.WarmUpTime, maxWarmUpTime)})
		s.WarmUpTime = min(max(s.WarmUpTime, 0), maxWarmUpTime)
	}
	if s.WarmUpRate < 0 {
		findings = append(findings, Finding{path + ".cold_per_s", fmt.Sprintf("%g is negative", s.WarmUpRate)})
		s.WarmUpRate = 0
	}
	return findings
}

// Customer is a holder of API keys.
type Customer struct {
	ID   fleet.CustomerID
	Keys []string
	// Priority replaces that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is a published configuration.
type Config struct {
	Version   uint64
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits
}

// Table is a compiled configuration.
type Table struct {
	Version uint64
	Limits  Limits
	// RequiresKey is set if requests need an API key, except on anonymous routes. This is so if the
	// configuration has any customer.
	RequiresKey bool

	routesByHost   map[string]map[string]*Route
	services       map[fleet.ServiceID]Service
	customersByKey map[string]*Customer
	streamTimeouts map[fleet.ServiceID]time.Duration
}

// Finding is a fault in a configuration. Path is that of the faulty field, such as routes[3].host.
type Finding struct {
	Path    string
	Message string
}

// String returns the path and the message, separated by a colon.
func (f Finding) String() string { return f.Path + ": " + f.Message }

// Compile checks a configuration and builds its table. Routes with findings are left out; the rest
// of the table is usable.
func Compile(c Config) (*Table, []Finding) {
	t := &Table{
		Version:        c.Version,
		Limits:         c.Limits,
		RequiresKey:    len(c.Customers) > 0,
		routesByHost:   make(map[string]map[string]*Route),
		services:       make(map[fleet.ServiceID]Service, len(c.Services)),
		customersByKey: make(map[string]*Customer),
		streamTimeouts: make(map[fleet.ServiceID]time.Duration),
	}
	var findings []Finding
	for i, s := range c.Services {
		findings = append(findings, s.checkWarmUp(fmt.Sprintf("services[%d]", i))...)
		t.services[s.ID] = s
	}
	for i := range c.Routes {
		findings = append(findings, t.addRoute(i, &c.Routes[i])...)
	}
	for i := range c.Customers {
		for _, key := range c.Customers[i].Keys {
			t.customersByKey[key] = &c.Customers[i]
		}
	}
	return t, findings
}

// addRoute adds a route to the table, or returns its faults.
func (t *Table) addRoute(i int, r *Route) []Finding {
	findings := t.checkRoute(fmt.Sprintf("routes[%d]", i), r)
	if len(findings) > 0 {
		return findings
	}
	r.Host = strings.ToLower(r.Host)
	prefixes := t.routesByHost[r.Host]
	if prefixes == nil {
		prefixes = make(map[string]*Route)
		t.routesByHost[r.Host] = prefixes
	}
	prefixes[r.Prefix] = r
	for _, s := range r.Shares {
		if r.ResumableStream() {
			t.streamTimeouts[s.Service] = max(t.streamTimeouts[s.Service], r.Timeout)
		}
	}
	return nil
}

// checkRoute returns the faults of a route. path is the route's path in the configuration.
func (t *Table) checkRoute(path string, r *Route) []Finding {
	var findings []Finding
	addFinding := func(field, message string) {
		findings = append(findings, Finding{path + "." + field, message})
	}
	if r.Host == "" {
		addFinding("host", "is empty")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		addFinding("prefix", fmt.Sprintf("%q does not begin and end with a slash", r.Prefix))
	}
	if r.Kind == 0 {
		addFinding("kind", "is unknown")
	}
	if len(r.Shares) == 0 {
		addFinding("service", "is missing")
	}
	for _, s := range r.Shares {
		if _, ok := t.services[s.Service]; !ok {
			addFinding("service", fmt.Sprintf("%q is not declared", s.Service))
		}
	}
	return findings
}

// Lookup returns the route of a host whose prefix is the longest that path begins with, or nil. The
// path is that of the request line, not decoded and without the query. A port in host is ignored.
func (t *Table) Lookup(host, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	prefixes := t.routesByHost[strings.ToLower(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Customer returns the customer that an API key belongs to, or nil.
func (t *Table) Customer(key string) *Customer { return t.customersByKey[key] }

// Service returns a declared service.
func (t *Table) Service(id fleet.ServiceID) (Service, bool) {
	s, ok := t.services[id]
	return s, ok
}

// Services returns the declared services in order of ID.
func (t *Table) Services() []fleet.ServiceID {
	ids := make([]fleet.ServiceID, 0, len(t.services))
	for id := range t.services {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b fleet.ServiceID) int { return cmp.Compare(a, b) })
	return ids
}

// StreamTimeout returns the longest timeout of a service's resumable streams, or false if it has none.
func (t *Table) StreamTimeout(id fleet.ServiceID) (time.Duration, bool) {
	timeout, ok := t.streamTimeouts[id]
	return timeout, ok
}

// ShortestTarget returns the shortest target latency of the routes that use a service, or 0 if none has one.
func (t *Table) ShortestTarget(service fleet.ServiceID) time.Duration {
	var shortest time.Duration
	for _, prefixes := range t.routesByHost {
		for _, r := range prefixes {
			uses := slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service })
			if uses && r.TargetLatency > 0 && (shortest == 0 || r.TargetLatency < shortest) {
				shortest = r.TargetLatency
			}
		}
	}
	return shortest
}
