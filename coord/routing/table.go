// Package routing indexes one version of the operators' configuration for an entry. It
// resolves the host, path and key of a request to its route, its client account and the
// service that runs it. A Table is immutable; a newer version replaces it as a whole.
package routing

import (
	"sort"
	"strings"
	"time"
)

// Kind tells whether the requests of a route may be run again.
type Kind int

// Kinds of a route.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota + 1
	// Idempotent requests may run again.
	Idempotent
	// Streaming requests are answered by a stream of events with increasing IDs. They run
	// once, unless the route is resumable.
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
	// Timeout bounds how long a request is kept waiting; 0 = no bound.
	Timeout time.Duration
	// TargetLatency is the latency up to which an answer, or the first event of a stream,
	// earns its full benefit.
	TargetLatency time.Duration
	// GapTarget is the longest gap between two events of a stream that counts as on time.
	GapTarget time.Duration
	// Priority is the rank of the route, 0 the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts bounds how many endpoints one request is sent to.
	MaxAttempts int
	// Public means that requests need no key.
	Public bool
	// Resumable means that another endpoint may continue a stream after its last event.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority is the rank of the account, 0 the most urgent. It is compared before the
	// route's; nil = only the route's is compared.
	Priority *int
	// CountTokens means that Rate and Burst are in tokens instead of requests.
	CountTokens bool
	// DefaultTokens is the cost, in tokens, of a request without token counts.
	DefaultTokens int
	// Rate is the usage cap per second and Burst the most that may be used at once. A
	// Rate of 0 means no cap.
	Rate, Burst float64
}

// AccountList is the list of client accounts in a version of the configuration.
type AccountList struct {
	// Present means that the version has the list, even if it holds no account. Requests then
	// need a key of one of the accounts; without the list they need none.
	Present  bool
	Accounts []Account
}

// KeyPolicy says what a key counts for where a version has no list of client accounts.
type KeyPolicy int

const (
	// IgnoreKeys lets a request run whatever key it carries.
	IgnoreKeys KeyPolicy = iota
	// RefuseUnknownKeys lets a request run only without a key: every key is unknown, and one that
	// an earlier version held was taken away.
	RefuseUnknownKeys
)

// Service is a set of interchangeable endpoints.
type Service struct {
	Name string
	// ConnectionLimit is how many connections one endpoint accepts from all callers; 0 = unknown.
	ConnectionLimit int
	// Engine means that the endpoints are model engines.
	Engine bool
	// Slots is how many requests one engine runs at once; 0 = unknown.
	Slots int
	// EventTokens is how many tokens one event of a stream carries; 0 = unknown.
	EventTokens int
	// MemoryTokens is the memory of one engine, in tokens; 0 = unknown.
	MemoryTokens int
}

// Limits bound the sizes of a caller's requests and the times that its connections may
// wait.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// LeftOut is a row of a version that is not used, since a field that limits to which requests it
// applies is empty.
type LeftOut struct {
	Kind   string // "route" or "account"
	Index  int    // in its list
	Name   string
	Reason string
}

// Table is one indexed version of the configuration.
type Table struct {
	Version int64
	Limits  Limits
	// LeftOut lists the rows that are not used, routes first.
	LeftOut  []LeftOut
	accounts AccountList
	services map[string]Service // by name
	byHost   map[string][]Route // by host as hostName returns it, the longest prefix first
	byKey    map[string]int     // index in accounts.Accounts by key
}

// NewTable indexes the rows of one version.
func NewTable(version int64, routes []Route, services []Service, accounts AccountList, limits Limits) *Table {
	t := &Table{
		Version: version, Limits: limits, accounts: accounts,
		services: map[string]Service{}, byHost: map[string][]Route{}, byKey: map[string]int{},
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	for i, r := range routes {
		host := strings.ToLower(strings.TrimSuffix(r.Host, "."))
		if reason := r.unlimited(host); reason != "" {
			t.LeftOut = append(t.LeftOut, LeftOut{Kind: "route", Index: i, Name: r.Name, Reason: reason})
			continue
		}
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, list := range t.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for i, a := range accounts.Accounts {
		if a.Name == "" {
			t.LeftOut = append(t.LeftOut, LeftOut{Kind: "account", Index: i, Reason: "no name"})
			continue
		}
		for _, key := range a.Keys {
			t.byKey[key] = i
		}
	}
	return t
}

// unlimited returns why a route would take requests of any host or path; empty = it does not.
func (r *Route) unlimited(host string) string {
	switch {
	case host == "":
		return "no host"
	case r.Prefix == "":
		return "no path prefix"
	}
	return ""
}

// hostName returns the name in a Host header without its port, in lower case and without the final
// dot of an absolute name.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// Match returns the route of a host with the longest prefix of the path, or nil. A port
// in the host is ignored.
func (t *Table) Match(host, path string) *Route {
	list := t.byHost[hostName(host)]
	for i := range list {
		if strings.HasPrefix(path, list[i].Prefix) {
			return &list[i]
		}
	}
	return nil
}

// Account returns the account that a key belongs to, or nil.
func (t *Table) Account(key string) *Account {
	if i, ok := t.byKey[key]; ok && key != "" {
		return &t.accounts.Accounts[i]
	}
	return nil
}

// Accounts lists the client accounts. The slice must not be changed.
func (t *Table) Accounts() []Account {
	return t.accounts.Accounts
}

// AsksForKeys reports whether requests on routes that are not public need a key.
func (t *Table) AsksForKeys() bool {
	return t.accounts.Present
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

// EachRoute yields all routes, in no order. They must not be changed.
func (t *Table) EachRoute(yield func(*Route) bool) {
	for _, list := range t.byHost {
		for i := range list {
			if !yield(&list[i]) {
				return
			}
		}
	}
}

// Routes returns the number of routes.
func (t *Table) Routes() int {
	n := 0
	for _, list := range t.byHost {
		n += len(list)
	}
	return n
}

// Pick selects the service of a request in proportion to the weights of the route's
// targets; draw is a uniform random number in [0, 1). It returns a service that Allows
// accepts, or "" if there is none.
func (r *Route) Pick(draw float64) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	total := 0.0
	for _, target := range r.Targets {
		total += max(target.Weight, 0)
	}
	remaining, picked := draw*total, ""
	for _, target := range r.Targets {
		if target.Weight <= 0 {
			continue
		}
		picked = target.Service // also the last one's, if rounding leaves a remainder
		if remaining -= target.Weight; remaining < 0 {
			break
		}
	}
	return picked
}

// Allows reports whether the route may send requests to a service: to a target with a
// positive weight, or to its only target.
func (r *Route) Allows(service string) bool {
	for _, target := range r.Targets {
		if target.Service == service && (target.Weight > 0 || len(r.Targets) == 1) {
			return true
		}
	}
	return false
}

// Refusal is Allowed or the reason why a request is refused.
type Refusal int

// Outcomes of Admit.
const (
	// Allowed means that the request may be forwarded.
	Allowed Refusal = iota
	// NoRoute means that no route matches.
	NoRoute
	// UnknownKey means that the request has an unknown key, or none where one is needed.
	UnknownKey
)

// Admission is what an allowed request was resolved to.
type Admission struct {
	Route *Route
	// Account is nil on a public route without a known key, and where the version has no list of
	// accounts.
	Account *Account
	Version int64
}

// Admit resolves a request by host, path and key; an empty key means that it carries none. It
// depends on the version and the policy alone, so that every entry decides alike, whichever versions
// it knew before.
func (t *Table) Admit(host, path, key string, policy KeyPolicy) (Admission, Refusal) {
	route := t.Match(host, path)
	if route == nil {
		return Admission{}, NoRoute
	}
	account := t.Account(key)
	if account == nil && !route.Public && (t.accounts.Present || key != "" && policy == RefuseUnknownKeys) {
		return Admission{}, UnknownKey
	}
	return Admission{Route: route, Account: account, Version: t.Version}, Allowed
}

// AccountName returns the name of the request's account; empty = it has none.
func (a Admission) AccountName() string {
	if a.Account == nil {
		return ""
	}
	return a.Account.Name
}

// AccountPriority returns the rank of the request's account, which is compared before its
// route's; 0 where there is no account or it has no rank.
func (a Admission) AccountPriority() int {
	if a.Account != nil && a.Account.Priority != nil {
		return *a.Account.Priority
	}
	return 0
}

// Freshness tracks when the configuration of this process was last confirmed to be the
// newest. Times are of a clock that also counts while the machine is suspended.
type Freshness struct {
	confirmedAt time.Duration
	known       bool
}

// Confirm records that the newest version was known at a time. A read confirms the time
// at which it was sent; a long poll that returned empty after its whole wait confirms the
// end of that wait.
func (f *Freshness) Confirm(at time.Duration) {
	if !f.known || at > f.confirmedAt {
		f.confirmedAt, f.known = at, true
	}
}

// Age returns how long ago the newest version was last confirmed, and false if it never
// was.
func (f *Freshness) Age(now time.Duration) (time.Duration, bool) {
	return now - f.confirmedAt, f.known
}
