package table

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

var (
	// ErrNotNewer means that a snapshot is not newer than the machine's table.
	ErrNotNewer = errors.New("snapshot is not newer than the table")
	// ErrInvalidSnapshot means that a snapshot's contents are inconsistent, break a rule
	// or do not match its digest.
	ErrInvalidSnapshot = errors.New("invalid table snapshot")
)

// RowState is a row with the table version that its last edit produced.
type RowState struct {
	Row
	Version int64 `json:"version"`
}

// Snapshot is the complete state of a machine at one version.
type Snapshot struct {
	// Version is the log offset after the newest applied record.
	Version int64 `json:"version"`
	// Floor is the version of the newest verdict that was discarded. Edits whose editor
	// saw an older table are rejected.
	Floor int64 `json:"floor"`
	// Rows are ordered by kind and name.
	Rows []RowState `json:"rows"`
	// Verdicts are ordered by version.
	Verdicts []Verdict `json:"verdicts"`
	// Digest is the digest of the state: the version, the floor, the rows and the verdicts.
	Digest string `json:"digest"`
}

// snapshotRecord is the JSON form of a snapshot in the log.
type snapshotRecord struct {
	Type recordType `json:"type"`
	Snapshot
}

// xorHash is a hash of a set of items: the exclusive or of the SHA-256 of each item's
// JSON. It can be updated after an edit without hashing the unchanged rows again.
type xorHash [sha256.Size]byte

// toggle adds an item to the set, or removes it if the set contains it.
func (s *xorHash) toggle(item any) {
	data, err := json.Marshal(item)
	if err != nil {
		// Items hold only strings and finite numbers, because the rules reject other
		// numbers. Such items can always be encoded.
		panic(errors.Wrap(err, "encode table item"))
	}
	h := sha256.Sum256(data)
	for i := range s {
		s[i] ^= h[i]
	}
}

// digest returns the digest of a state with the hashed items at a version. floor is the
// version of the newest discarded verdict.
func (s *xorHash) digest(version, floor int64) string {
	h := sha256.New()
	fmt.Fprintf(h, "%d %d ", version, floor)
	h.Write(s[:])
	return hex.EncodeToString(h.Sum(nil))
}

// Digest returns the digest of the machine's state.
func (m *Machine) Digest() string {
	return m.digests[m.Version()]
}

// recordDigest stores the digest of the current version and drops the digest that is
// too old to be kept.
func (m *Machine) recordDigest() {
	version := m.Version()
	m.digests[version] = m.contentHash.digest(version, m.discardedVersion)
	delete(m.digests, version-maxDigests)
}

// Snapshot returns the complete state of the machine.
func (m *Machine) Snapshot() Snapshot {
	return Snapshot{
		Version:  m.Version(),
		Floor:    m.discardedVersion,
		Rows:     m.table.Rows(),
		Verdicts: m.History(),
		Digest:   m.Digest(),
	}
}

// EncodeSnapshot encodes a snapshot as a log record.
func EncodeSnapshot(s Snapshot) ([]byte, error) {
	data, err := json.Marshal(snapshotRecord{Type: recordSnapshot, Snapshot: s})
	return data, errors.Wrap(err, "encode snapshot")
}

// DecodeSnapshot decodes the log record of a snapshot. It does not check the digest;
// Restore does.
func DecodeSnapshot(data []byte) (Snapshot, error) {
	var r snapshotRecord
	if err := decodeStrict(data, &r); err != nil {
		return Snapshot{}, errors.Wrap(err, "decode snapshot")
	}
	if r.Type != recordSnapshot {
		return Snapshot{}, errors.Errorf("decode snapshot: unexpected record type %q", r.Type)
	}
	for i := range r.Rows {
		r.Rows[i].Row = r.Rows[i].normalized()
	}
	return r.Snapshot, nil
}

// Restore replaces the machine's state by that of a newer snapshot. It returns
// ErrNotNewer if the snapshot is not newer and ErrInvalidSnapshot if its contents are
// invalid or do not match its digest; the machine is then unchanged.
func (m *Machine) Restore(s Snapshot) error {
	if s.Version <= m.Version() {
		return errors.Wrapf(ErrNotNewer, "snapshot version %d, table version %d", s.Version, m.Version())
	}
	next, err := machineFromSnapshot(s)
	if err != nil {
		return err
	}
	next.verdictLimit = m.verdictLimit
	*m = *next
	return nil
}

// machineFromSnapshot validates a snapshot and returns a machine with its state.
func machineFromSnapshot(s Snapshot) (*Machine, error) {
	m := NewMachine()
	m.discardedVersion = s.Floor
	var edits []RowEdit
	versions := map[Key]int64{}
	for _, row := range s.Rows {
		name, ok := row.name()
		key := Key{Kind: row.Kind, Name: name}
		if !ok || versions[key] != 0 || row.Version <= 0 || row.Version > s.Version {
			return nil, errors.Wrapf(ErrInvalidSnapshot, "row %s %s is malformed, occurs twice or has an impossible version", row.Kind, name)
		}
		versions[key] = row.Version
		m.contentHash.toggle(row)
		edits = append(edits, RowEdit{Row: row.Row, Name: name})
	}
	if err := m.restoreVerdicts(s); err != nil {
		return nil, err
	}
	m.table = m.table.withEdits(s.Version, edits)
	m.table.versions = versions
	if violations := Validate(m.table); len(violations) > 0 {
		return nil, errors.Wrapf(ErrInvalidSnapshot, "rows break a rule: %s", violations[0].Error())
	}
	if digest := m.contentHash.digest(s.Version, s.Floor); digest != s.Digest {
		return nil, errors.Wrapf(ErrInvalidSnapshot, "digest of the contents is %.12s, digest in the record is %.12s", digest, s.Digest)
	}
	m.digests = map[int64]string{s.Version: s.Digest}
	return m, nil
}

// restoreVerdicts copies the verdicts of a snapshot after checking the order of their versions.
func (m *Machine) restoreVerdicts(s Snapshot) error {
	last := s.Floor
	for _, v := range s.Verdicts {
		if v.Version <= last || v.Version > s.Version {
			return errors.Wrapf(ErrInvalidSnapshot, "version of the verdict on edit %s is out of order or out of range", v.EditID)
		}
		last = v.Version
		m.verdicts = append(m.verdicts, v)
		m.versionByID[v.EditID] = v.Version
		m.contentHash.toggle(v)
	}
	return nil
}

// Rebuild returns a snapshot with the given rows at a version, without any history.
// Edits whose editor saw an older table are rejected. Rebuild serves to recover the
// table when the log has dropped its records and no running process holds a copy.
func Rebuild(version int64, rows []RowEdit) (Snapshot, []Finding) {
	m := NewMachine()
	m.discardedVersion = version
	if violations := checkRows(rows); len(violations) > 0 {
		return Snapshot{}, violations
	}
	m.table = m.table.withEdits(version, rows)
	if violations := Validate(m.table); len(violations) > 0 {
		return Snapshot{}, violations
	}
	for _, row := range m.table.Rows() {
		m.contentHash.toggle(row)
	}
	m.recordDigest()
	return m.Snapshot(), nil
}

// checkSnapshot compares the digest of a snapshot in the log with the digest of the
// machine's own state at that version, if the machine still keeps it.
func (m *Machine) checkSnapshot(r Record) Outcome {
	var header struct {
		Version int64  `json:"version"`
		Digest  string `json:"digest"`
	}
	if err := json.Unmarshal(r.Data, &header); err != nil || header.Version > r.Offset {
		return OutcomeMalformed
	}
	own, kept := m.digests[header.Version]
	if kept && own != header.Digest {
		return OutcomeDisagrees
	}
	return OutcomeSnapshot
}

// Agrees reports whether a snapshot matches the machine's own state at the snapshot's
// version. checked is false if the machine has no digest for that version, because it
// has not reached the version or has dropped its digest.
func (m *Machine) Agrees(s Snapshot) (agrees, checked bool) {
	own, kept := m.digests[s.Version]
	return own == s.Digest, kept
}

// Key returns the key of the row. The name in it is empty unless the row has the values
// for its kind and no others.
func (r RowState) Key() Key {
	name, _ := r.name()
	return Key{Kind: r.Kind, Name: name}
}
