// Package table holds the operators' configuration table of client accounts, tiers
// and endpoints. Processes agree on the table through a log stream: operators append
// edits, and every process replays them in log order with a Machine, which accepts or
// rejects each edit deterministically. The package also defines the validation rules,
// the snapshots that replace earlier records, and the CSV format for operators.
package table

import (
	"maps"
	"time"
)

// Kind is the kind of a row.
type Kind string

// Kinds of row.
const (
	KindTier     Kind = "tier"
	KindAccount  Kind = "account"
	KindEndpoint Kind = "endpoint"
)

// EndpointKind distinguishes model engines from plain services.
type EndpointKind string

// Kinds of endpoint.
const (
	EndpointEngine  EndpointKind = "engine"
	EndpointService EndpointKind = "service"
)

// Tier is a priority class of requests.
type Tier struct {
	// Name is the row's key.
	Name string `json:"name"`
	// Rank orders tiers; 0 is the most urgent. No two tiers share a rank.
	Rank int `json:"rank"`
	// QueueLimit is how many requests of the tier may wait in one entry; 0 = no limit for this tier.
	QueueLimit int `json:"queue_limit"`
	// MaxWait limits how long a request waits for a place; 0 = until the caller's deadline.
	MaxWait time.Duration `json:"max_wait"`
	// FirstToken is the target for the time to the first token; 0 = no target.
	FirstToken time.Duration `json:"first_token"`
	// TokenInterval is the target for the time between tokens; 0 = no target.
	TokenInterval time.Duration `json:"token_interval"`
	// Preemptible allows runs of the tier to be suspended for a more urgent one.
	Preemptible bool `json:"preemptible"`
}

// Account is a client account.
type Account struct {
	// Name is the row's key.
	Name string `json:"name"`
	// KeyDigest is the SHA-256 of the bearer key, in lower-case hex.
	KeyDigest string `json:"key_digest"`
	// Tiers are the tiers the account may use; the first is its default.
	Tiers []string `json:"tiers"`
	// Endpoints are the endpoints the account may use; empty = all.
	Endpoints []string `json:"endpoints"`
	// Weight is the account's share of capacity relative to other accounts in the same tier; above 0.
	Weight float64 `json:"weight"`
	// RequestsPerSecond limits admissions; 0 = no limit.
	RequestsPerSecond float64 `json:"requests_per_second"`
	// TokensPerSecond limits prompt and generated tokens; 0 = no limit.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// Concurrency limits the account's concurrent requests in the system; 0 = no limit.
	Concurrency int `json:"concurrency"`
}

// Endpoint is a model (a pool of engines) or a plain service (a pool of its instances).
type Endpoint struct {
	// Name is the row's key: the model's name, or the service's name in its path.
	Name string `json:"name"`
	// Kind is engine or service.
	Kind EndpointKind `json:"kind"`
	// Weight scales how much work the pool gets relative to other pools; above 0.
	Weight float64 `json:"weight"`
	// Concurrency limits the concurrent runs on each instance; 0 = the limit is learned.
	Concurrency int `json:"concurrency"`
	// MaxTokens limits the generated tokens of one request; 0 = no limit. Engines only.
	MaxTokens int `json:"max_tokens"`
	// NonIdempotent lists the HTTP methods whose requests must not run twice. Services only.
	NonIdempotent []string `json:"non_idempotent"`
}

// Table holds all rows at one version. It is immutable, so that readers can share it.
type Table struct {
	// Version is the log offset after the newest replayed record; it never decreases.
	Version int64
	// Tiers by name.
	Tiers map[string]Tier
	// Accounts by name.
	Accounts map[string]Account
	// Endpoints by name.
	Endpoints map[string]Endpoint
	// nameByDigest maps the digest of a bearer key to the account's name.
	nameByDigest map[string]string
	// versions holds the table version at which each row was last edited. Rows passed
	// to New have none.
	versions map[Key]int64
}

// AccountByKeyDigest returns the account whose bearer key has the digest.
func (t *Table) AccountByKeyDigest(digest string) (Account, bool) {
	name, ok := t.nameByDigest[digest]
	if !ok {
		return Account{}, false
	}
	return t.Accounts[name], true
}

// New returns a table at a version with the given rows, with an index by key digest.
// It does not check the rows; see Validate.
func New(version int64, tiers []Tier, accounts []Account, endpoints []Endpoint) *Table {
	t := &Table{
		Version:      version,
		Tiers:        make(map[string]Tier, len(tiers)),
		Accounts:     make(map[string]Account, len(accounts)),
		Endpoints:    make(map[string]Endpoint, len(endpoints)),
		nameByDigest: make(map[string]string, len(accounts)),
	}
	for _, row := range tiers {
		t.Tiers[row.Name] = row
	}
	for _, row := range accounts {
		t.Accounts[row.Name] = row
		t.nameByDigest[row.KeyDigest] = row.Name
	}
	for _, row := range endpoints {
		t.Endpoints[row.Name] = row
	}
	return t
}

// Row returns a copy of one row.
func (t *Table) Row(key Key) (Row, bool) {
	switch key.Kind {
	case KindTier:
		row, ok := t.Tiers[key.Name]
		return Row{Kind: key.Kind, Tier: &row}.orEmpty(ok), ok
	case KindAccount:
		row, ok := t.Accounts[key.Name]
		return Row{Kind: key.Kind, Account: &row}.orEmpty(ok), ok
	case KindEndpoint:
		row, ok := t.Endpoints[key.Name]
		return Row{Kind: key.Kind, Endpoint: &row}.orEmpty(ok), ok
	}
	return Row{}, false
}

// orEmpty returns a normalized copy of the row, or a row without values if it is
// not present.
func (r Row) orEmpty(present bool) Row {
	if !present {
		return Row{Kind: r.Kind}
	}
	return r.normalized()
}

// Keys returns the keys of all rows, ordered by kind and name.
func (t *Table) Keys() []Key {
	var keys []Key
	for _, name := range sortedNames(t.Tiers) {
		keys = append(keys, Key{Kind: KindTier, Name: name})
	}
	for _, name := range sortedNames(t.Accounts) {
		keys = append(keys, Key{Kind: KindAccount, Name: name})
	}
	for _, name := range sortedNames(t.Endpoints) {
		keys = append(keys, Key{Kind: KindEndpoint, Name: name})
	}
	return keys
}

// RowVersion returns the table version produced by the last accepted edit of the
// row; 0 if there is no such row.
func (t *Table) RowVersion(key Key) int64 {
	return t.versions[key]
}

// Rows returns a copy of all rows with their versions, ordered by kind and name.
func (t *Table) Rows() []RowState {
	rows := []RowState{}
	for _, key := range t.Keys() {
		row, _ := t.Row(key)
		rows = append(rows, RowState{Row: row, Version: t.RowVersion(key)})
	}
	return rows
}

// withEdits returns a copy of the table at the given version with the edited rows
// applied. Maps of kinds without edited rows are shared with the original.
func (t *Table) withEdits(version int64, rows []RowEdit) *Table {
	next := *t
	next.Version = version
	next.versions = cloneMap(t.versions)
	cloned := map[Kind]bool{}
	for _, row := range rows {
		if !cloned[row.Kind] {
			next.copyRowsOf(row.Kind)
			cloned[row.Kind] = true
		}
		next.put(row)
		next.versions[row.Key()] = version
		if row.Delete {
			delete(next.versions, row.Key())
		}
	}
	if cloned[KindAccount] {
		next.rebuildDigestIndex()
	}
	return &next
}

// copyRowsOf replaces the map of a kind by a copy, so that changes do not reach
// the tables that share it.
func (t *Table) copyRowsOf(kind Kind) {
	switch kind {
	case KindTier:
		t.Tiers = cloneMap(t.Tiers)
	case KindAccount:
		t.Accounts = cloneMap(t.Accounts)
	case KindEndpoint:
		t.Endpoints = cloneMap(t.Endpoints)
	}
}

// rebuildDigestIndex rebuilds the index from key digest to account name.
func (t *Table) rebuildDigestIndex() {
	t.nameByDigest = make(map[string]string, len(t.Accounts))
	for name, account := range t.Accounts {
		t.nameByDigest[account.KeyDigest] = name
	}
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}

func (t *Table) put(row RowEdit) {
	switch row.Kind {
	case KindTier:
		putRow(t.Tiers, row.Name, row.Tier)
	case KindAccount:
		putRow(t.Accounts, row.Name, row.Account)
	case KindEndpoint:
		putRow(t.Endpoints, row.Name, row.Endpoint)
	}
}

// putRow stores a row, or deletes it if values is nil.
func putRow[V any](rows map[string]V, name string, values *V) {
	if values == nil {
		delete(rows, name)
		return
	}
	rows[name] = *values
}
