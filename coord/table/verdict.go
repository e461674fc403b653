package table

import "fmt"

const (
	// maxListedChanges is the maximum number of changes that a verdict lists.
	maxListedChanges = 100
	// maxListedFindings is the maximum number of findings, and of conflicts, that a verdict lists.
	maxListedFindings = 100
)

// Reason says why an edit was rejected.
type Reason string

// Reasons for a rejection.
const (
	// ReasonConflict means that a row was changed after the editor read it.
	ReasonConflict Reason = "conflict"
	// ReasonRules means that the edit is malformed or the resulting table would break a rule.
	ReasonRules Reason = "rules"
	// ReasonTooOld means that the editor saw a table older than the newest verdict that
	// was discarded, or claims to have seen a version that the edit's own record produces
	// or that comes later.
	ReasonTooOld Reason = "too_old"
)

// Conflict is a row that was changed after the editor read it.
type Conflict struct {
	Key
	// Base is the version that the editor saw.
	Base int64 `json:"base"`
	// Version is the current version of the row; 0 = the row does not exist.
	Version int64 `json:"version"`
	// Current holds the current values of the row; nil if it does not exist.
	Current *Row `json:"current,omitempty"`
}

// Change is a change of one field by an edit.
type Change struct {
	Key
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// String formats the change as one line.
func (c Change) String() string {
	return fmt.Sprintf("%s %s: %s: %q -> %q", c.Kind, c.Name, c.Field, c.Before, c.After)
}

// Verdict is the result of an edit: accepted or rejected. Every reader of the log
// computes the same verdict.
type Verdict struct {
	EditID string `json:"edit_id"`
	Editor string `json:"editor"`
	AtMS   int64  `json:"at_ms"`
	// Version is the table version that the edit's record produced.
	Version  int64 `json:"version"`
	Accepted bool  `json:"accepted"`
	// Reason, Conflicts and Findings explain a rejection.
	Reason    Reason     `json:"reason,omitempty"`
	Conflicts []Conflict `json:"conflicts,omitempty"`
	Findings  []Finding  `json:"findings,omitempty"`
	// Changes are the fields that the edit changed, or would have changed if accepted.
	Changes []Change `json:"changes,omitempty"`
	// Omitted is the number of conflicts, findings and changes left out of the lists.
	Omitted int `json:"omitted,omitempty"`
}

// truncateLists shortens the verdict's lists to their maximum lengths and counts
// what it leaves out.
func (v *Verdict) truncateLists() {
	v.Conflicts = truncate(v.Conflicts, maxListedFindings, &v.Omitted)
	v.Findings = truncate(v.Findings, maxListedFindings, &v.Omitted)
	v.Changes = truncate(v.Changes, maxListedChanges, &v.Omitted)
}

// truncate returns at most limit items of the list and adds the number of the others
// to omitted.
func truncate[T any](list []T, limit int, omitted *int) []T {
	if len(list) <= limit {
		return list
	}
	*omitted += len(list) - limit
	return list[:limit]
}
