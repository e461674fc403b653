package table

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

var (
	// ErrNotNewer says that a snapshot is not newer than the machine.
	ErrNotNewer = errors.New("snapshot is not newer than the table")
	// ErrInvalidSnapshot says that a snapshot's digest is not that of its contents.
	ErrInvalidSnapshot = errors.New("snapshot digest does not match")
)

// RowState is a row with its version.
type RowState struct {
	Row
	Version int64 `json:"version"`
}

// Snapshot is a machine's whole state at one version.
type Snapshot struct {
	// Version is the offset after the newest record applied.
	Version int64 `json:"version"`
	// Floor is the version of the newest verdict that was forgotten.
	Floor int64 `json:"floor"`
	// Rows are in the order of kind and name.
	Rows []RowState `json:"rows"`
	// Verdicts are in the order of their versions.
	Verdicts []Verdict `json:"verdicts"`
	// Digest is that of the state.
	Digest string `json:"digest"`
}

type snapshotRecord struct {
	Type recordType `json:"type"`
	Snapshot
}

// sum is the exclusive-or of the SHA-256 of each item's JSON, so that it follows
// an edit without reading the rows that did not change.
type sum [sha256.Size]byte

// flip adds an item, or takes it away if it is there.
func (s *sum) flip(item any) {
	data, err := json.Marshal(item)
	if err != nil {
		// Items hold only finite numbers and strings; the rules reject the rest.
		panic(errors.Wrap(err, "encode table item"))
	}
	h := sha256.Sum256(data)
	for i := range s {
		s[i] ^= h[i]
	}
}

func (s *sum) digest(version, floor int64) string {
	h := sha256.New()
	fmt.Fprintf(h, "%d %d ", version, floor)
	h.Write(s[:])
	return hex.EncodeToString(h.Sum(nil))
}

// Digest returns the digest of the machine's state.
func (m *Machine) Digest() string {
	return m.digests[m.Version()]
}

func (m *Machine) keepDigest() {
	version := m.Version()
	m.digests[version] = m.sum.digest(version, m.floor)
	delete(m.digests, version-digestsKept)
}

// Snapshot returns the machine's whole state.
func (m *Machine) Snapshot() Snapshot {
	return Snapshot{
		Version:  m.Version(),
		Floor:    m.floor,
		Rows:     m.table.Rows(),
		Verdicts: m.History(),
		Digest:   m.Digest(),
	}
}

// EncodeSnapshot returns the log record of a snapshot.
func EncodeSnapshot(s Snapshot) ([]byte, error) {
	data, err := json.Marshal(snapshotRecord{Type: recordSnapshot, Snapshot: s})
	return data, errors.Wrap(err, "encode snapshot")
}

// DecodeSnapshot reads the log record of a snapshot; Restore checks its digest.
func DecodeSnapshot(data []byte) (Snapshot, error) {
	var r snapshotRecord
	if err := decodeStrict(data, &r); err != nil {
		return Snapshot{}, errors.Wrap(err, "decode snapshot")
	}
	if r.Type != recordSnapshot {
		return Snapshot{}, errors.Errorf("decode snapshot: record type %q", r.Type)
	}
	for i := range r.Rows {
		r.Rows[i].Row = r.Rows[i].normal()
	}
	return r.Snapshot, nil
}

// Restore replaces the machine's state by a newer snapshot's. It refuses one that
// is not newer (ErrNotNewer) or whose contents do not fit its digest (ErrInvalidSnapshot),
// and changes nothing then.
func (m *Machine) Restore(s Snapshot) error {
	if s.Version <= m.Version() {
		return errors.Wrapf(ErrNotNewer, "snapshot %d, table %d", s.Version, m.Version())
	}
	next, err := build(s)
	if err != nil {
		return err
	}
	next.keep = m.keep
	*m = *next
	return nil
}

// build makes a machine of a snapshot and checks it.
func build(s Snapshot) (*Machine, error) {
	m := NewMachine()
	m.floor = s.Floor
	var edits []RowEdit
	versions := map[Key]int64{}
	for _, row := range s.Rows {
		name, ok := row.name()
		key := Key{Kind: row.Kind, Name: name}
		if !ok || versions[key] != 0 || row.Version <= 0 || row.Version > s.Version {
			return nil, errors.Wrapf(ErrInvalidSnapshot, "row %s %s", row.Kind, name)
		}
		versions[key] = row.Version
		m.sum.flip(row)
		edits = append(edits, RowEdit{Row: row.Row, Name: name})
	}
	if err := m.restoreVerdicts(s); err != nil {
		return nil, err
	}
	m.table = m.table.with(s.Version, edits)
	m.table.versions = versions
	if broken := Validate(m.table); len(broken) > 0 {
		return nil, errors.Wrapf(ErrInvalidSnapshot, "rows break a rule: %s", broken[0].Error())
	}
	if digest := m.sum.digest(s.Version, s.Floor); digest != s.Digest {
		return nil, errors.Wrapf(ErrInvalidSnapshot, "contents %.12s, record %.12s", digest, s.Digest)
	}
	m.digests = map[int64]string{s.Version: s.Digest}
	return m, nil
}

func (m *Machine) restoreVerdicts(s Snapshot) error {
	last := s.Floor
	for _, v := range s.Verdicts {
		if v.Version <= last || v.Version > s.Version {
			return errors.Wrapf(ErrInvalidSnapshot, "verdict %s", v.EditID)
		}
		last = v.Version
		m.verdicts = append(m.verdicts, v)
		m.byID[v.EditID] = v.Version
		m.sum.flip(v)
	}
	return nil
}

// Rebuild returns a snapshot with the given rows at a version, without any history.
// It is for a log that dropped the table's records when no process was left.
func Rebuild(version int64, rows []RowEdit) (Snapshot, []Finding) {
	m := NewMachine()
	m.floor = version
	if broken := checkRows(rows); len(broken) > 0 {
		return Snapshot{}, broken
	}
	m.table = m.table.with(version, rows)
	if broken := Validate(m.table); len(broken) > 0 {
		return Snapshot{}, broken
	}
	for _, row := range m.table.Rows() {
		m.sum.flip(row)
	}
	m.keepDigest()
	return m.Snapshot(), nil
}

// checkSnapshot compares a snapshot in the log with the machine's own state at
// the snapshot's version, as far as its digest is still kept.
func (m *Machine) checkSnapshot(r Record) Outcome {
	var head struct {
		Version int64  `json:"version"`
		Digest  string `json:"digest"`
	}
	if err := json.Unmarshal(r.Data, &head); err != nil || head.Version > r.Offset {
		return OutcomeMalformed
	}
	own, kept := m.digests[head.Version]
	if kept && own != head.Digest {
		return OutcomeDisagrees
	}
	return OutcomeSnapshot
}

// Agrees reports whether a snapshot fits the machine's own state at its version;
// checked is false if the machine no longer, or not yet, knows that version.
func (m *Machine) Agrees(s Snapshot) (agrees, checked bool) {
	own, kept := m.digests[s.Version]
	return own == s.Digest, kept
}

// Key returns the key of the row; its name is empty unless the row is whole.
func (r RowState) Key() Key {
	name, _ := r.name()
	return Key{Kind: r.Kind, Name: name}
}
