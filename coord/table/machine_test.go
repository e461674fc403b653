package table_test

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"primrosespoke.dev/coord/replay"
	"primrosespoke.dev/coord/table"
)

// verdictLimitInTest is small, so that replicas discard verdicts during a run.
const verdictLimitInTest = 6

// oracle is a reference model of the table. It decides on edits with plain maps and
// never forgets an edit ID.
type oracle struct {
	rows     map[table.Key]table.RowState
	accepted map[string]bool
	// versions and ids are the versions and edit IDs of the verdicts, oldest first.
	versions []int64
	ids      []string
}

// keepsVerdict reports whether a replica at this version still has the verdict on an edit ID.
func (o oracle) keepsVerdict(id string) bool {
	return slices.Contains(o.ids[max(0, len(o.ids)-verdictLimitInTest):], id)
}

func (o oracle) clone() oracle {
	return oracle{rows: maps.Clone(o.rows), accepted: maps.Clone(o.accepted), versions: slices.Clone(o.versions), ids: slices.Clone(o.ids)}
}

// next returns the state after the record at an offset. e is the edit in the record, or
// nil if the record does not hold a valid edit.
func (o oracle) next(offset int64, e *table.Edit) oracle {
	if e == nil {
		return o
	}
	n := o.clone()
	_, repeated := n.accepted[e.ID]
	tooOld := len(n.versions) > verdictLimitInTest && e.Seen < n.versions[len(n.versions)-verdictLimitInTest-1]
	if repeated && !n.keepsVerdict(e.ID) {
		n.versions, n.ids = append(n.versions, offset+1), append(n.ids, e.ID)
	}
	if repeated {
		return n
	}
	rows := maps.Clone(n.rows)
	ok := !tooOld
	for _, r := range e.Rows {
		ok = ok && n.rows[r.Key()].Version == r.Base
		delete(rows, r.Key())
		if !r.Delete {
			rows[r.Key()] = table.RowState{Row: r.Row, Version: offset + 1}
		}
	}
	n.versions, n.ids = append(n.versions, offset+1), append(n.ids, e.ID)
	n.accepted[e.ID] = ok && obeysRules(rows)
	if n.accepted[e.ID] {
		n.rows = rows
	}
	return n
}

// obeysRules checks the rules that the drawn rows can break, independently of the package.
func obeysRules(rows map[table.Key]table.RowState) bool {
	ranks, digests := map[int]int{}, map[string]int{}
	for _, r := range rows {
		if r.Tier != nil {
			ranks[r.Tier.Rank]++
		}
		if a := r.Account; a != nil {
			digests[a.KeyDigest]++
			if a.Weight <= 0 || len(a.Tiers) == 0 || (a.TokensPerSecond > 0 && a.TokensPerSecond < a.RequestsPerSecond) {
				return false
			}
			for _, name := range a.Tiers {
				if _, ok := rows[table.Key{Kind: table.KindTier, Name: name}]; !ok {
					return false
				}
			}
		}
	}
	for _, n := range ranks {
		if n > 1 {
			return false
		}
	}
	for _, n := range digests {
		if n > 1 {
			return false
		}
	}
	return true
}

func digestOf(i int) string { return strings.Repeat(fmt.Sprint(i), 64) }

func drawRow(t *rapid.T) table.Row {
	i := rapid.IntRange(0, 2).Draw(t, "row")
	if rapid.Bool().Draw(t, "tier") {
		return table.Row{Kind: table.KindTier, Tier: &table.Tier{
			Name: fmt.Sprint("t", i), Rank: rapid.IntRange(0, 3).Draw(t, "rank"),
		}}
	}
	tiers := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"t0", "t1", "t2"}), 1, 2, rapid.ID).Draw(t, "tiers")
	return table.Row{Kind: table.KindAccount, Account: &table.Account{
		Name: fmt.Sprint("a", i), KeyDigest: digestOf(rapid.IntRange(0, 3).Draw(t, "key")), Tiers: tiers,
		Weight:            rapid.SampledFrom([]float64{1, 2, 1, 2, 1, -1, 0}).Draw(t, "weight"),
		RequestsPerSecond: 2, TokensPerSecond: rapid.SampledFrom([]float64{0, 5, 5, 1}).Draw(t, "tokens"),
	}}
}

func nameOf(r table.Row) string {
	if r.Tier != nil {
		return r.Tier.Name
	}
	return r.Account.Name
}

// replica is one reader of the log, with the state that its process keeps.
type replica struct {
	machine   *table.Machine
	sequencer *replay.Sequencer
	// records are the records read so far, which other replicas can fetch.
	records map[int64]replay.Record
}

func newReplica() *replica {
	m := table.NewMachine()
	m.SetVerdictLimit(verdictLimitInTest)
	return &replica{machine: m, sequencer: replay.New(0), records: map[int64]replay.Record{}}
}

// simulation holds the log, the oracle's state at every version, and the replicas.
type simulation struct {
	g   *WithT
	log [][]byte
	// earliest is the offset of the oldest record that the log still holds.
	earliest int64
	// states holds the oracle's state at each version, from 0.
	states   []oracle
	edits    []table.Edit
	replicas []*replica
	// digests holds the digest of the state by version, equal for all replicas.
	digests map[int64]string
	// verdicts holds the verdicts by edit ID and version, equal for all replicas.
	verdicts map[string]table.Verdict
	// lastVersions holds the version of each replica at the last check.
	lastVersions []int64
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{g: NewWithT(t), digests: map[int64]string{}, verdicts: map[string]table.Verdict{}}
	sim.states = []oracle{{rows: map[table.Key]table.RowState{}, accepted: map[string]bool{}}}
	for range 3 {
		sim.replicas = append(sim.replicas, newReplica())
		sim.lastVersions = append(sim.lastVersions, 0)
	}
	return sim
}

func (sim *simulation) append(data []byte, e *table.Edit) {
	offset := int64(len(sim.log))
	sim.log = append(sim.log, data)
	sim.states = append(sim.states, sim.states[offset].next(offset, e))
}

func (sim *simulation) drawReplica(t *rapid.T) *replica {
	return sim.replicas[rapid.IntRange(0, len(sim.replicas)-1).Draw(t, "replica")]
}

func (sim *simulation) submitEdit(t *rapid.T) {
	tab := sim.drawReplica(t).machine.Table()
	e := table.Edit{ID: fmt.Sprint("e", len(sim.edits)), Seen: tab.Version}
	for range rapid.IntRange(1, 2).Draw(t, "rows") {
		row := drawRow(t)
		edit := table.RowEdit{Row: row, Name: nameOf(row)}
		if rapid.IntRange(0, 5).Draw(t, "delete") == 0 {
			edit.Row, edit.Delete = table.Row{Kind: row.Kind}, true
		}
		edit.Base = tab.RowVersion(edit.Key())
		if len(e.Rows) == 0 || e.Rows[0].Key() != edit.Key() {
			e.Rows = append(e.Rows, edit)
		}
	}
	sim.edits = append(sim.edits, e)
	sim.appendEdit(e, rapid.IntRange(1, 2).Draw(t, "copies"))
}

func (sim *simulation) appendEdit(e table.Edit, copies int) {
	data, err := table.EncodeEdit(e)
	sim.g.Expect(err).NotTo(HaveOccurred())
	for range copies {
		sim.append(data, &e)
	}
}

// repeatEdit appends the record of an earlier edit again, as a delayed or retried append does.
func (sim *simulation) repeatEdit(t *rapid.T) {
	if len(sim.edits) > 0 {
		sim.appendEdit(rapid.SampledFrom(sim.edits).Draw(t, "edit"), 1)
	}
}

// appendSnapshot appends a replica's snapshot, or a corrupted copy of it.
func (sim *simulation) appendSnapshot(t *rapid.T) {
	s := sim.drawReplica(t).machine.Snapshot()
	switch rapid.IntRange(0, 3).Draw(t, "damage") {
	case 0:
		s.Rows = append(s.Rows, table.RowState{Row: drawRow(t), Version: s.Version})
	case 1:
		s.Version++
	}
	data, err := table.EncodeSnapshot(s)
	sim.g.Expect(err).NotTo(HaveOccurred())
	sim.append(data, nil)
}

func (sim *simulation) appendMalformedRecord(t *rapid.T) {
	sim.append([]byte(rapid.SampledFrom([]string{"", "{}", `{"type":"edit"}`, "[1", `{"type":"edit","id":"e0","x":1}`}).Draw(t, "junk")), nil)
}

// readLog delivers records of the log to a replica, in any order and with repetitions.
func (sim *simulation) readLog(t *rapid.T) {
	x := sim.drawReplica(t)
	x.sequencer.SetBounds(sim.earliest, int64(len(sim.log)))
	if x.sequencer.NeedsSnapshot() {
		sim.restoreFromLog(x)
	}
	if int64(len(sim.log)) == sim.earliest {
		return
	}
	offsets := rapid.SliceOfN(rapid.Int64Range(sim.earliest, int64(len(sim.log)-1)), 1, 8).Draw(t, "offsets")
	if rapid.Bool().Draw(t, "page") {
		offsets = nil
		for o := max(sim.earliest, x.sequencer.Next()); o < int64(len(sim.log)); o++ {
			offsets = append(offsets, o)
		}
	}
	for _, o := range offsets {
		sim.deliver(x, x.sequencer.Add(replay.Record{Offset: o, Data: sim.log[o]}))
	}
}

// restoreFromLog restores a replica from the snapshots in the log, as a reader does whose
// next record is no longer in the log.
func (sim *simulation) restoreFromLog(x *replica) {
	for o := sim.earliest; o < int64(len(sim.log)); o++ {
		s, err := table.DecodeSnapshot(sim.log[o])
		if err == nil && s.Version >= sim.earliest && s.Version <= o {
			sim.restore(x, s)
		}
	}
}

func (sim *simulation) restore(x *replica, s table.Snapshot) {
	if x.machine.Restore(s) == nil {
		sim.deliver(x, x.sequencer.SkipTo(s.Version))
	}
}

func (sim *simulation) deliver(x *replica, ready []replay.Record) {
	for _, record := range ready {
		x.records[record.Offset] = record
		outcome, v, err := x.machine.Apply(table.Record(record))
		sim.g.Expect(err).NotTo(HaveOccurred())
		again, _, err := x.machine.Apply(table.Record(record))
		sim.g.Expect(again, err).To(Equal(table.OutcomeStale))
		if outcome == table.OutcomeEdit {
			key := fmt.Sprint(v.EditID, "@", v.Version)
			if first, ok := sim.verdicts[key]; ok {
				sim.g.Expect(v).To(Equal(first))
			}
			sim.verdicts[key] = v
		}
	}
}

// copyBetweenReplicas copies records or a snapshot from one replica to another. The
// source may be behind the destination.
func (sim *simulation) copyBetweenReplicas(t *rapid.T) {
	from, to := sim.drawReplica(t), sim.drawReplica(t)
	if from == to {
		return
	}
	if rapid.Bool().Draw(t, "snapshot") {
		sim.restore(to, from.machine.Snapshot())
		return
	}
	for _, record := range from.records {
		sim.deliver(to, to.sequencer.Add(record))
	}
}

func (sim *simulation) trimLog(t *rapid.T) {
	sim.earliest = rapid.Int64Range(sim.earliest, int64(len(sim.log))).Draw(t, "earliest")
}

func (sim *simulation) restartReplica(t *rapid.T) {
	i := rapid.IntRange(0, len(sim.replicas)-1).Draw(t, "replica")
	sim.replicas[i], sim.lastVersions[i] = newReplica(), 0
}

// check compares each replica with the oracle's state at the replica's version.
func (sim *simulation) check() {
	for i, x := range sim.replicas {
		version := x.machine.Version()
		sim.g.Expect(version).To(BeNumerically(">=", sim.lastVersions[i]), "version decreased")
		sim.lastVersions[i] = version
		sim.g.Expect(x.sequencer.Next()).To(Equal(version))
		sim.g.Expect(table.Validate(x.machine.Table())).To(BeEmpty())
		got := map[table.Key]table.RowState{}
		for _, row := range x.machine.Table().Rows() {
			got[table.Key{Kind: row.Kind, Name: nameOf(row.Row)}] = row
		}
		sim.g.Expect(got).To(Equal(sim.states[version].rows), "version %d", version)
		if first, ok := sim.digests[version]; ok {
			sim.g.Expect(x.machine.Digest()).To(Equal(first))
		}
		sim.digests[version] = x.machine.Digest()
		for _, v := range x.machine.History() {
			if want, ok := sim.states[version].accepted[v.EditID]; ok && v.Reason != table.ReasonTooOld {
				sim.g.Expect(v.Accepted).To(Equal(want), v.EditID)
			}
		}
	}
}

// TestReplicasMatchOracleDespiteFaultsOfLogAndPeers draws concurrent editors, lost,
// repeated, reordered and delayed records, a trimmed log, restarts, peers that are behind
// and corrupted snapshots.
func TestReplicasMatchOracleDespiteFaultsOfLogAndPeers(t *testing.T) {
	accepted, rejected := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit": sim.submitEdit, "submit2": sim.submitEdit, "retry": sim.repeatEdit,
			"snapshot": sim.appendSnapshot, "junk": sim.appendMalformedRecord,
			"read": sim.readLog, "read2": sim.readLog, "pull": sim.copyBetweenReplicas,
			"trim": sim.trimLog, "restart": sim.restartReplica,
			"": func(*rapid.T) { sim.check() },
		})
		for _, ok := range sim.states[len(sim.log)].accepted {
			if ok {
				accepted++
			} else {
				rejected++
			}
		}
	})
	t.Logf("%d edits accepted, %d rejected", accepted, rejected)
	NewWithT(t).Expect(min(accepted, rejected)).To(BeNumerically(">", 0))
}

// TestSnapshotThatContradictsReplayedStateIsIgnored offers a machine a valid snapshot with
// a matching digest whose state differs from the one that the machine replayed.
func TestSnapshotThatContradictsReplayedStateIsIgnored(t *testing.T) {
	g := NewWithT(t)
	machine, divergent := table.NewMachine(), table.NewMachine()
	for i, m := range []*table.Machine{machine, divergent} {
		data, err := table.EncodeEdit(table.Edit{ID: "e", Rows: []table.RowEdit{{
			Row:  table.Row{Kind: table.KindTier, Tier: &table.Tier{Name: "urgent", Rank: i}},
			Name: "urgent",
		}}})
		g.Expect(err).NotTo(HaveOccurred())
		_, v, err := m.Apply(table.Record{Data: data})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(v.Accepted).To(BeTrue())
	}
	snapshot, err := table.EncodeSnapshot(divergent.Snapshot())
	g.Expect(err).NotTo(HaveOccurred())
	outcome, _, err := machine.Apply(table.Record{Offset: 1, Data: snapshot})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(outcome).To(Equal(table.OutcomeDisagrees))
	g.Expect(machine.Table().Tiers["urgent"].Rank).To(BeZero())
	g.Expect(machine.Restore(divergent.Snapshot())).To(MatchError(table.ErrNotNewer))
	agrees, checked := machine.Agrees(divergent.Snapshot())
	g.Expect(checked && !agrees).To(BeTrue())
}

func TestEditRoundTrip(t *testing.T) {
	g := NewWithT(t)
	r := rand.New(rand.NewSource(1))
	e := table.Edit{ID: fmt.Sprint(r.Int63()), Editor: "ana", Seen: 4, Rows: []table.RowEdit{
		{Row: table.Row{Kind: table.KindTier}, Name: "bulk", Base: 3, Delete: true},
	}}
	data, err := table.EncodeEdit(e)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(table.DecodeEdit(data)).To(Equal(e))
}

func ExampleMachine() {
	m := table.NewMachine()
	data, _ := table.EncodeEdit(table.Edit{ID: "1", Editor: "ana", Rows: []table.RowEdit{{
		Row:  table.Row{Kind: table.KindTier, Tier: &table.Tier{Name: "urgent"}},
		Name: "urgent",
	}}})
	_, first, _ := m.Apply(table.Record{Offset: 0, Data: data})
	_, again, _ := m.Apply(table.Record{Offset: 1, Data: data})
	fmt.Println(first.Accepted, again.Version, m.Version())
	// Output: true 1 2
}
