package table

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"primrosespoke.dev/coord/invariant"
)

const (
	// maxVerdicts is the number of verdicts that a machine keeps, each under its edit ID.
	maxVerdicts = 512
	// maxDigests is the number of versions whose digests a machine keeps for checking snapshots.
	maxDigests = 2048
)

// ErrGap means that a record cannot be applied because records before it are missing.
var ErrGap = errors.New("record is beyond the next offset")

// Record is one record of the table's log stream.
type Record struct {
	Offset int64
	Data   []byte
}

// Outcome is the effect of a record on a machine.
type Outcome int

// Outcomes of Apply.
const (
	// OutcomeStale means that the record had already been applied. It is also returned with an error.
	OutcomeStale Outcome = iota
	// OutcomeEdit means that an edit was accepted or rejected; its verdict is returned.
	OutcomeEdit
	// OutcomeRepeat means that the edit ID already has a verdict; that verdict is returned.
	OutcomeRepeat
	// OutcomeSnapshot means a snapshot that matches the machine's own state, or one at a
	// version for which the machine has no digest.
	OutcomeSnapshot
	// OutcomeDisagrees means a snapshot that differs from the machine's own state. It is ignored.
	OutcomeDisagrees
	// OutcomeMalformed means a record that cannot be decoded, has an unknown type, or is a
	// snapshot of a version that comes after the record itself. It is ignored.
	OutcomeMalformed
)

// Machine is the replicated state machine of the table. It applies the records of the
// table's log stream in order, so that all readers of the stream reach the same state.
// It is not safe for concurrent use; the tables that it returns are immutable.
type Machine struct {
	table *Table
	// verdicts are the newest verdicts, ordered by version.
	verdicts []Verdict
	// versionByID maps an edit ID to the version of its verdict.
	versionByID map[string]int64
	// discardedVersion is the version of the newest verdict that was discarded. An edit
	// whose editor saw an older table is rejected, because it may repeat an edit whose
	// ID is no longer known. Snapshots hold it as their floor.
	discardedVersion int64
	// contentHash covers the rows and the verdicts.
	contentHash xorHash
	// digests holds the digest of the state at each of the newest versions.
	digests map[int64]string
	// verdictLimit is the number of verdicts kept. It decides which edits are too old, so
	// it must be the same in all readers of a log.
	verdictLimit int
}

// NewMachine returns a machine with an empty table at version 0.
func NewMachine() *Machine {
	m := &Machine{
		table:        New(0, nil, nil, nil),
		versionByID:  map[string]int64{},
		digests:      map[int64]string{},
		verdictLimit: maxVerdicts,
	}
	m.recordDigest()
	return m
}

// Table returns the current table.
func (m *Machine) Table() *Table {
	return m.table
}

// Version returns the log offset after the newest applied record.
func (m *Machine) Version() int64 {
	return m.table.Version
}

// Verdict returns the verdict on an edit ID, if it is still kept.
func (m *Machine) Verdict(editID string) (Verdict, bool) {
	version, ok := m.versionByID[editID]
	if !ok {
		return Verdict{}, false
	}
	i, found := slices.BinarySearchFunc(m.verdicts, version, func(v Verdict, want int64) int {
		return int(v.Version - want)
	})
	if !found {
		return Verdict{}, false
	}
	return m.verdicts[i], true
}

// History returns the verdicts that are kept, oldest first.
func (m *Machine) History() []Verdict {
	return slices.Clone(m.verdicts)
}

// Apply applies one record. A record that was already applied changes nothing. A
// record beyond the next offset is rejected with ErrGap.
func (m *Machine) Apply(r Record) (Outcome, Verdict, error) {
	switch {
	case r.Offset < m.Version():
		return OutcomeStale, Verdict{}, nil
	case r.Offset > m.Version():
		return OutcomeStale, Verdict{}, errors.Wrapf(ErrGap, "record offset %d, next offset %d", r.Offset, m.Version())
	}
	outcome, verdict := m.apply(r)
	m.recordDigest()
	invariant.Check(m.Version() == r.Offset+1, "table/version", "version %d after offset %d", m.Version(), r.Offset)
	return outcome, verdict, nil
}

// apply applies the next record and advances the version past it, even if the record
// is malformed.
func (m *Machine) apply(r Record) (Outcome, Verdict) {
	var header struct {
		Type recordType `json:"type"`
	}
	if err := json.Unmarshal(r.Data, &header); err != nil {
		m.advance(r.Offset)
		return OutcomeMalformed, Verdict{}
	}
	switch header.Type {
	case recordEdit:
		return m.applyEdit(r)
	case recordSnapshot:
		outcome := m.checkSnapshot(r)
		m.advance(r.Offset)
		return outcome, Verdict{}
	}
	m.advance(r.Offset)
	return OutcomeMalformed, Verdict{}
}

// advance sets the version after a record that changes no row.
func (m *Machine) advance(offset int64) {
	next := *m.table
	next.Version = offset + 1
	m.table = &next
}

func (m *Machine) applyEdit(r Record) (Outcome, Verdict) {
	edit, err := DecodeEdit(r.Data)
	if err != nil {
		m.advance(r.Offset)
		return OutcomeMalformed, Verdict{}
	}
	if first, ok := m.Verdict(edit.ID); ok {
		m.advance(r.Offset)
		return OutcomeRepeat, first
	}
	verdict, result := m.decide(edit, r.Offset+1)
	if verdict.Accepted {
		m.commit(edit, result)
	} else {
		m.advance(r.Offset)
	}
	m.recordVerdict(verdict)
	return OutcomeEdit, verdict
}

// Preview returns the verdict that an edit would get if its record came next, or the
// verdict that its ID already has.
func (m *Machine) Preview(e Edit) Verdict {
	if first, ok := m.Verdict(e.ID); ok {
		return first
	}
	verdict, _ := m.decide(e, m.Version()+1)
	return verdict
}

// decide accepts or rejects an edit. It returns the verdict, and the table that results
// if the edit is accepted.
func (m *Machine) decide(e Edit, version int64) (Verdict, *Table) {
	v := Verdict{EditID: e.ID, Editor: e.Editor, AtMS: e.AtMS, Version: version}
	if e.Seen < m.discardedVersion || e.Seen >= version {
		v.Reason = ReasonTooOld
		return v, nil
	}
	v.Findings = checkRows(e.Rows)
	if len(v.Findings) > 0 {
		v.Reason = ReasonRules
		v.truncateLists()
		return v, nil
	}
	result := m.table.withEdits(version, e.Rows)
	v.Conflicts = m.conflicts(e.Rows)
	v.Findings = validateEdit(result, e.Rows)
	v.Changes = m.changes(e.Rows)
	switch {
	case len(v.Conflicts) > 0:
		v.Reason = ReasonConflict
	case len(v.Findings) > 0:
		v.Reason = ReasonRules
	default:
		v.Accepted = true
	}
	v.truncateLists()
	return v, result
}

// checkRows checks that each row has the values for its kind and name and no others,
// or none if it is deleted, and that no row occurs twice.
func checkRows(rows []RowEdit) []Finding {
	f := &findings{}
	seen := map[Key]bool{}
	for _, row := range rows {
		f.key = row.Key()
		name, ok := row.name()
		switch {
		case columnsOf(row.Kind) == nil:
			f.add("kind", "unknown kind")
		case seen[row.Key()]:
			f.add("", "the row occurs twice")
		case row.Delete && !row.empty():
			f.add("", "a deleted row must have no values")
		case !row.Delete && (!ok || name != row.Name):
			f.add("", "the row must have the values of its kind and name, and no others")
		}
		seen[row.Key()] = true
	}
	return f.list
}

// conflicts returns the rows whose version differs from the one that the editor saw.
func (m *Machine) conflicts(rows []RowEdit) []Conflict {
	var list []Conflict
	for _, row := range rows {
		version := m.table.RowVersion(row.Key())
		if row.Base == version {
			continue
		}
		c := Conflict{Key: row.Key(), Base: row.Base, Version: version}
		if current, ok := m.table.Row(row.Key()); ok {
			c.Current = &current
		}
		list = append(list, c)
	}
	return list
}

// changes returns the fields in which the rows differ from the current table.
func (m *Machine) changes(rows []RowEdit) []Change {
	var list []Change
	for _, row := range rows {
		before, _ := m.table.Row(row.Key())
		list = append(list, diff(row.Key(), before, row.Row)...)
	}
	return list
}

// commit replaces the table by the result of an accepted edit and updates the hash.
func (m *Machine) commit(e Edit, result *Table) {
	for _, row := range e.Rows {
		key := row.Key()
		if current, ok := m.table.Row(key); ok {
			m.contentHash.toggle(RowState{Row: current, Version: m.table.RowVersion(key)})
		}
		if !row.Delete {
			m.contentHash.toggle(RowState{Row: row.Row, Version: result.Version})
		}
	}
	m.table = result
}

// recordVerdict stores a verdict and discards the oldest ones beyond the limit.
func (m *Machine) recordVerdict(v Verdict) {
	m.verdicts = append(m.verdicts, v)
	m.versionByID[v.EditID] = v.Version
	m.contentHash.toggle(v)
	for len(m.verdicts) > m.verdictLimit {
		oldest := m.verdicts[0]
		m.verdicts = m.verdicts[1:]
		delete(m.versionByID, oldest.EditID)
		m.contentHash.toggle(oldest)
		m.discardedVersion = oldest.Version
	}
}
