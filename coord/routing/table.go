// Package routing holds one version of the operators' configuration as an entry
// uses it: which route a request takes, which service runs it, and whose key it
// bears. A Table is immutable; a newer version replaces it whole.
package routing

import (
	"sort"
	"strings"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind int

// Kinds of a route.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota + 1
	// Idempotent requests may run again.
	Idempotent
	// Streaming requests are answered by events with increasing IDs. They run once,
	// unless the route lets a stream be resumed.
	Streaming
)

// Target is a service that a route sends a share of its requests to.
type Target struct {
	Service string
	// Weight is relative to the weights of the route's other targets.
	Weight float64
}

// Route is one row of the configuration.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request is kept waiting; 0 = none.
	Timeout time.Duration
	// TargetLatency is the time within which an answer, or a stream's first event,
	// earns its full benefit.
	TargetLatency time.Duration
	// GapTarget is the longest pause between two events of a stream that is on time.
	GapTarget time.Duration
	// Priority is the rank of the route, 0 the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts bounds the endpoints that one request is sent to.
	MaxAttempts int
	// Public requests need no key.
	Public bool
	// Resumable streams may go on at another endpoint after their last event.
	Resumable bool
}

// Repeatable tells whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority is the rank of the account, 0 the most urgent. It goes before the route's; nil = only the route's counts.
	Priority *int
	// CountTokens tells that Rate and Burst count tokens, and not requests.
	CountTokens bool
	// DefaultTokens is what a request without token counts costs.
	DefaultTokens int
	// Rate is the usage cap a second and Burst what may come at once; Rate 0 = no cap.
	Rate, Burst float64
}

// Service is a set of like endpoints.
type Service struct {
	Name string
	// ConnectionLimit is how many connections one endpoint accepts from all callers; 0 = unknown.
	ConnectionLimit int
	// Engine tells that the endpoints are model engines.
	Engine bool
	// Slots is how many requests an engine runs at once; 0 = unknown.
	Slots int
	// EventTokens is how many tokens an event of a stream holds; 0 = unknown.
	EventTokens int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration.
type Table struct {
	Version  int64
	Limits   Limits
	accounts []Account
	services map[string]Service
	byHost   map[string][]Route
	byKey    map[string]int
}

// NewTable indexes the rows of one version.
func NewTable(version int64, routes []Route, services []Service, accounts []Account, limits Limits) *Table {
	t := &Table{
		Version: version, Limits: limits, accounts: accounts,
		services: map[string]Service{}, byHost: map[string][]Route{}, byKey: map[string]int{},
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, list := range t.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for i, a := range accounts {
		for _, key := range a.Keys {
			t.byKey[key] = i
		}
	}
	return t
}

// Match returns the route with the longest prefix of the path on a host, or nil.
func (t *Table) Match(host, path string) *Route {
	if name, port, ok := strings.Cut(host, ":"); ok && port != "" {
		host = name
	}
	list := t.byHost[strings.ToLower(host)]
	for i := range list {
		if strings.HasPrefix(path, list[i].Prefix) {
			return &list[i]
		}
	}
	return nil
}

// Account returns the holder of a key, or nil.
func (t *Table) Account(key string) *Account {
	if i, ok := t.byKey[key]; ok && key != "" {
		return &t.accounts[i]
	}
	return nil
}

// Accounts lists the client accounts. The slice must not be changed.
func (t *Table) Accounts() []Account {
	return t.accounts
}

// Service returns a service by name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services lists the names of all services, sorted.
func (t *Table) Services() []string {
	names := make([]string, 0, len(t.services))
	for name := range t.services {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Routes counts the routes.
func (t *Table) Routes() int {
	n := 0
	for _, list := range t.byHost {
		n += len(list)
	}
	return n
}

// Pick selects the service of a request by the weights of the route's targets;
// draw is in [0, 1). It returns "" where the route has no target.
func (r *Route) Pick(draw float64) string {
	total := 0.0
	for _, target := range r.Targets {
		total += target.Weight
	}
	if total <= 0 {
		if len(r.Targets) > 0 {
			return r.Targets[0].Service
		}
		return ""
	}
	at := draw * total
	for _, target := range r.Targets {
		at -= target.Weight
		if at < 0 {
			return target.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Allows tells whether the route sends requests to a service.
func (r *Route) Allows(service string) bool {
	for _, target := range r.Targets {
		if target.Service == service && (target.Weight > 0 || len(r.Targets) == 1) {
			return true
		}
	}
	return false
}

// Refusal says why a request is not allowed.
type Refusal int

// Outcomes of Admit.
const (
	// Allowed means that the request may be passed on.
	Allowed Refusal = iota
	// NoRoute means that no route matches.
	NoRoute
	// UnknownKey means that the route needs a key and the request's is none.
	UnknownKey
)

// Admission is what a table allows a request.
type Admission struct {
	Route *Route
	// Account is nil on a public route without a known key, or where there are no accounts.
	Account *Account
	Version int64
}

// Admit resolves a request by host, path and key.
func (t *Table) Admit(host, path, key string) (Admission, Refusal) {
	route := t.Match(host, path)
	if route == nil {
		return Admission{}, NoRoute
	}
	account := t.Account(key)
	if account == nil && len(t.accounts) > 0 && !route.Public {
		return Admission{}, UnknownKey
	}
	return Admission{Route: route, Account: account, Version: t.Version}, Allowed
}

// AccountPriority is the rank of the request's account, which goes before its
// route's; 0 where accounts have none.
func (g Admission) AccountPriority() int {
	if g.Account != nil && g.Account.Priority != nil {
		return *g.Account.Priority
	}
	return 0
}

// Freshness tells how old a process's knowledge of the newest version may be. Times
// are of a clock that counts suspension.
type Freshness struct {
	provenAt time.Duration
	known    bool
}

// Confirm notes that the newest version was known at a moment. A read proves the
// moment it was asked; a long poll that came back empty after its whole wait proves
// the end of that wait.
func (f *Freshness) Confirm(at time.Duration) {
	if !f.known || at > f.provenAt {
		f.provenAt, f.known = at, true
	}
}

// Age returns how long ago the newest version was known for certain.
func (f *Freshness) Age(now time.Duration) (time.Duration, bool) {
	return now - f.provenAt, f.known
}
