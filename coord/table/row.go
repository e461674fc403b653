// Package table is the operators' table of client accounts, tiers and endpoints:
// its rows, the rules they obey, and the replay of edits in log order.
package table

import (
	"maps"
	"time"
)

// Kind names the three kinds of row.
type Kind string

// Kinds of row.
const (
	KindTier     Kind = "tier"
	KindAccount  Kind = "account"
	KindEndpoint Kind = "endpoint"
)

// EndpointKind tells model engines from plain services.
type EndpointKind string

// Kinds of endpoint.
const (
	EndpointEngine  EndpointKind = "engine"
	EndpointService EndpointKind = "service"
)

// Tier is a class of urgency.
type Tier struct {
	// Name is the row's key.
	Name string `json:"name"`
	// Rank orders tiers; 0 is the most urgent. No two tiers share a rank.
	Rank int `json:"rank"`
	// QueueLimit is how many requests of the tier one entry lets wait; 0 = no limit of its own.
	QueueLimit int `json:"queue_limit"`
	// MaxWait bounds the wait for a place; 0 = only the caller's deadline bounds it.
	MaxWait time.Duration `json:"max_wait"`
	// FirstToken is the promised time to the first token; 0 = none promised.
	FirstToken time.Duration `json:"first_token"`
	// TokenInterval is the promised time between tokens; 0 = none promised.
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
	// Weight is its share among the accounts of a tier; above 0.
	Weight float64 `json:"weight"`
	// RequestsPerSecond limits admissions; 0 = no limit.
	RequestsPerSecond float64 `json:"requests_per_second"`
	// TokensPerSecond limits prompt and generated tokens; 0 = no limit.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// Concurrency limits the requests in the system at a time; 0 = no limit.
	Concurrency int `json:"concurrency"`
}

// Endpoint is a model (a pool of engines) or a plain service (a pool of its instances).
type Endpoint struct {
	// Name is the row's key: the model's name, or the service's name in its path.
	Name string `json:"name"`
	// Kind tells an engine from a service.
	Kind EndpointKind `json:"kind"`
	// Weight scales how readily the pool is given work against others; above 0.
	Weight float64 `json:"weight"`
	// Concurrency bounds the runs at a time in each instance; 0 = learned.
	Concurrency int `json:"concurrency"`
	// MaxTokens bounds the generated tokens of one request; 0 = no bound. Engines only.
	MaxTokens int `json:"max_tokens"`
	// NonIdempotent lists the HTTP methods that must not run twice. Services only.
	NonIdempotent []string `json:"non_idempotent"`
}

// Table is an immutable state of all rows at one version. Readers share it.
type Table struct {
	// Version is the log offset after the newest record replayed; it never goes down.
	Version int64
	// Tiers by name.
	Tiers map[string]Tier
	// Accounts by name.
	Accounts map[string]Account
	// Endpoints by name.
	Endpoints map[string]Endpoint
	// byKey maps a key digest to the account's name.
	byKey map[string]string
	// versions holds the version of each row that an edit put in.
	versions map[Key]int64
}

// AccountByKeyDigest finds the account that holds a key digest.
func (t *Table) AccountByKeyDigest(digest string) (Account, bool) {
	name, ok := t.byKey[digest]
	if !ok {
		return Account{}, false
	}
	return t.Accounts[name], true
}

// New returns a table at a version with the given rows, indexed for reading.
// It does not check them; see Validate.
func New(version int64, tiers []Tier, accounts []Account, endpoints []Endpoint) *Table {
	t := &Table{
		Version:   version,
		Tiers:     make(map[string]Tier, len(tiers)),
		Accounts:  make(map[string]Account, len(accounts)),
		Endpoints: make(map[string]Endpoint, len(endpoints)),
		byKey:     make(map[string]string, len(accounts)),
	}
	for _, row := range tiers {
		t.Tiers[row.Name] = row
	}
	for _, row := range accounts {
		t.Accounts[row.Name] = row
		t.byKey[row.KeyDigest] = row.Name
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

func (r Row) orEmpty(present bool) Row {
	if !present {
		return Row{Kind: r.Kind}
	}
	return r.normal()
}

// Keys returns the keys of all rows in the order of kind and name.
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

// RowVersion returns the table version that the row's last accepted edit
// produced; 0 if there is no such row.
func (t *Table) RowVersion(key Key) int64 {
	return t.versions[key]
}

// Rows returns a copy of all rows with their versions, in the order of kind and name.
func (t *Table) Rows() []RowState {
	rows := []RowState{}
	for _, key := range t.Keys() {
		row, _ := t.Row(key)
		rows = append(rows, RowState{Row: row, Version: t.RowVersion(key)})
	}
	return rows
}

// with returns a copy of the table at a version with the rows of an edit put in.
// Rows that the edit does not name are shared.
func (t *Table) with(version int64, rows []RowEdit) *Table {
	next := *t
	next.Version = version
	next.versions = cloneMap(t.versions)
	cloned := map[Kind]bool{}
	for _, row := range rows {
		if !cloned[row.Kind] {
			next.unshare(row.Kind)
			cloned[row.Kind] = true
		}
		next.put(row)
		next.versions[row.Key()] = version
		if row.Delete {
			delete(next.versions, row.Key())
		}
	}
	if cloned[KindAccount] {
		next.index()
	}
	return &next
}

// unshare gives the table its own copy of the rows of a kind.
func (t *Table) unshare(kind Kind) {
	switch kind {
	case KindTier:
		t.Tiers = cloneMap(t.Tiers)
	case KindAccount:
		t.Accounts = cloneMap(t.Accounts)
	case KindEndpoint:
		t.Endpoints = cloneMap(t.Endpoints)
	}
}

// index builds the search by key digest anew.
func (t *Table) index() {
	t.byKey = make(map[string]string, len(t.Accounts))
	for name, account := range t.Accounts {
		t.byKey[account.KeyDigest] = name
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

// putRow sets a row, or removes it if it has no values.
func putRow[V any](rows map[string]V, name string, values *V) {
	if values == nil {
		delete(rows, name)
		return
	}
	rows[name] = *values
}
