package table

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"sort"
	"strings"
	"time"
)

// Upper bounds of the values in rows. They keep every calculation with these
// values finite.
const (
	maxRank         = 1000
	maxCount        = 1_000_000_000 // requests, runs or tokens
	maxRate         = 1e12          // requests or tokens per second
	maxWeight       = 1e6
	maxTierDuration = 24 * time.Hour
	keyDigestLength = 64 // hexadecimal digits
)

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,126}$`)
	enginePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/@-]{0,126}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,20}$`)
)

// Finding is one error in a table, an edit or a CSV file, with its position.
type Finding struct {
	// File, Line and Column are the position in a file; Line and Column count from 1, and 0 = unknown.
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
	// Kind and Name identify the row.
	Kind Kind   `json:"kind,omitempty"`
	Name string `json:"name,omitempty"`
	// Field is the name of the column.
	Field string `json:"field,omitempty"`
	// Message describes the error. Verdicts contain the findings of the rules, and the
	// digest of the state covers verdicts, so all readers of a log must produce the same texts.
	Message string `json:"message"`
}

// Error returns the finding as file:line:column: kind name: field: message.
func (f Finding) Error() string {
	var b strings.Builder
	if f.File != "" || f.Line > 0 {
		fmt.Fprintf(&b, "%s:%d:%d: ", f.File, f.Line, f.Column)
	}
	if f.Kind != "" || f.Name != "" {
		fmt.Fprintf(&b, "%s %s: ", f.Kind, f.Name)
	}
	if f.Field != "" {
		fmt.Fprintf(&b, "%s: ", f.Field)
	}
	b.WriteString(f.Message)
	return b.String()
}

// findings collects the findings about one row after another.
type findings struct {
	list []Finding
	// key is the row that add reports on.
	key Key
}

func (f *findings) add(field, format string, args ...any) {
	message := fmt.Sprintf(format, args...)
	f.list = append(f.list, Finding{Kind: f.key.Kind, Name: f.key.Name, Field: field, Message: message})
}

// addToBoth reports a value that two rows must not share: it adds one finding for
// the current row and one for the row named other. The format takes the shared
// value and the name of the conflicting row.
func (f *findings) addToBoth(field, other, format string, value any) {
	current := f.key
	f.add(field, format, value, other)
	f.key = Key{Kind: current.Kind, Name: other}
	f.add(field, format, value, current.Name)
	f.key = current
}

func (f *findings) checkCount(field string, n, limit int) {
	if n < 0 || n > limit {
		f.add(field, "must lie between 0 and %d", limit)
	}
}

func (f *findings) checkRate(field string, v float64) {
	if math.IsNaN(v) || v < 0 || v > maxRate {
		f.add(field, "must lie between 0 and %g", float64(maxRate))
	}
}

func (f *findings) checkWeight(v float64) {
	if math.IsNaN(v) || v <= 0 || v > maxWeight {
		f.add("weight", "must be above 0 and at most %g", float64(maxWeight))
	}
}

func (f *findings) checkDuration(field string, d time.Duration) {
	if d < 0 || d > maxTierDuration {
		f.add(field, "must lie between 0 and %s", maxTierDuration)
	}
}

// Validate checks every rule on a whole table and returns all findings, ordered
// by kind and name.
func Validate(t *Table) []Finding {
	return validate(t, sortedNames(t.Accounts))
}

// validateEdit checks a table that was made by applying an edit's rows to a valid
// table. It skips the accounts that the edit does not change, unless the edit
// deletes a tier or an endpoint, which they may refer to, or two accounts share a key.
func validateEdit(t *Table, rows []RowEdit) []Finding {
	var changed []string
	for _, row := range rows {
		switch {
		case row.Kind == KindAccount && !row.Delete:
			changed = append(changed, row.Name)
		case row.Kind != KindAccount && row.Delete:
			return Validate(t)
		}
	}
	if len(t.nameByDigest) != len(t.Accounts) {
		return Validate(t)
	}
	sort.Strings(changed)
	return validate(t, changed)
}

func validate(t *Table, accounts []string) []Finding {
	f := &findings{}
	checkTiers(f, t)
	checkAccounts(f, t, accounts)
	checkEndpoints(f, t)
	return f.list
}

// checkTiers checks each tier's values and that no two tiers share a rank.
func checkTiers(f *findings, t *Table) {
	byRank := map[int]string{}
	for _, name := range sortedNames(t.Tiers) {
		tier := t.Tiers[name]
		f.key = Key{Kind: KindTier, Name: name}
		f.checkName(name, tier.Name, namePattern)
		f.checkCount("rank", tier.Rank, maxRank)
		f.checkCount("queue_limit", tier.QueueLimit, maxCount)
		f.checkDuration("max_wait", tier.MaxWait)
		f.checkDuration("first_token", tier.FirstToken)
		f.checkDuration("token_interval", tier.TokenInterval)
		if tier.TokenInterval > 0 && tier.FirstToken == 0 {
			f.add("first_token", "must be set where token_interval is set")
		}
		if other, exists := byRank[tier.Rank]; exists {
			f.addToBoth("rank", other, "rank %d is that of tier %s, too", tier.Rank)
		}
		byRank[tier.Rank] = name
	}
}

// checkAccounts checks the named accounts. Two accounts that share a key are found
// only if both are named.
func checkAccounts(f *findings, t *Table, names []string) {
	byDigest := map[string]string{}
	for _, name := range names {
		account := t.Accounts[name]
		f.key = Key{Kind: KindAccount, Name: name}
		f.checkName(name, account.Name, namePattern)
		checkKey(f, account, byDigest)
		checkReferences(f, t, account)
		f.checkWeight(account.Weight)
		f.checkRate("requests_per_second", account.RequestsPerSecond)
		f.checkRate("tokens_per_second", account.TokensPerSecond)
		f.checkCount("concurrency", account.Concurrency, maxCount)
		if account.TokensPerSecond > 0 && account.TokensPerSecond < account.RequestsPerSecond {
			f.add("tokens_per_second", "contradicts requests_per_second: every request takes a token at least")
		}
	}
}

func checkKey(f *findings, account Account, byDigest map[string]string) {
	if !digestPattern.MatchString(account.KeyDigest) {
		f.add("key_digest", "must be the SHA-256 of the key, %d lower-case hexadecimal digits", keyDigestLength)
		return
	}
	if other, exists := byDigest[account.KeyDigest]; exists {
		f.addToBoth("key_digest", other, "key %.8s is that of account %s, too", account.KeyDigest)
	}
	byDigest[account.KeyDigest] = account.Name
}

// checkReferences checks that the tiers and endpoints of an account exist and occur once.
func checkReferences(f *findings, t *Table, account Account) {
	if len(account.Tiers) == 0 {
		f.add("tiers", "must name at least one tier")
	}
	for i, tier := range account.Tiers {
		if _, ok := t.Tiers[tier]; !ok {
			f.add("tiers", "unknown tier %q", tier)
		}
		if slices.Contains(account.Tiers[:i], tier) {
			f.add("tiers", "tier %q occurs twice", tier)
		}
	}
	for i, endpoint := range account.Endpoints {
		if _, ok := t.Endpoints[endpoint]; !ok {
			f.add("endpoints", "unknown endpoint %q", endpoint)
		}
		if slices.Contains(account.Endpoints[:i], endpoint) {
			f.add("endpoints", "endpoint %q occurs twice", endpoint)
		}
	}
}

func checkEndpoints(f *findings, t *Table) {
	for _, name := range sortedNames(t.Endpoints) {
		endpoint := t.Endpoints[name]
		f.key = Key{Kind: KindEndpoint, Name: name}
		f.checkWeight(endpoint.Weight)
		f.checkCount("concurrency", endpoint.Concurrency, maxCount)
		f.checkCount("max_tokens", endpoint.MaxTokens, maxCount)
		switch endpoint.Kind {
		case EndpointEngine:
			f.checkName(name, endpoint.Name, enginePattern)
			if len(endpoint.NonIdempotent) > 0 {
				f.add("non_idempotent", "is for services only")
			}
		case EndpointService:
			f.checkName(name, endpoint.Name, namePattern)
			if endpoint.MaxTokens != 0 {
				f.add("max_tokens", "is for engines only")
			}
		default:
			f.checkName(name, endpoint.Name, enginePattern)
			f.add("endpoint_kind", "must be %s or %s", EndpointEngine, EndpointService)
		}
		checkMethods(f, endpoint.NonIdempotent)
	}
}

func checkMethods(f *findings, methods []string) {
	for i, method := range methods {
		if !methodPattern.MatchString(method) {
			f.add("non_idempotent", "%q is not an HTTP method in capitals", method)
		}
		if slices.Contains(methods[:i], method) {
			f.add("non_idempotent", "method %q occurs twice", method)
		}
	}
}

// checkName checks a row's name and that the row is stored under it.
func (f *findings) checkName(key, name string, pattern *regexp.Regexp) {
	if key != name {
		f.add("name", "the values name another row, %q", name)
	}
	if !pattern.MatchString(name) {
		f.add("name", "must match %s", pattern)
	}
}

func sortedNames[V any](rows map[string]V) []string {
	names := make([]string, 0, len(rows))
	for name := range rows {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
