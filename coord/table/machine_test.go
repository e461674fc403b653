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

// keptInTest is small, so that edit IDs are forgotten in the course of a run.
const keptInTest = 6

// oracle judges edits on plain maps and remembers every edit ID for ever.
type oracle struct {
	rows     map[table.Key]table.RowState
	accepted map[string]bool
	// edits and ids are the versions and IDs of the verdicts, oldest first.
	edits []int64
	ids   []string
}

func (o oracle) remembers(id string) bool {
	return slices.Contains(o.ids[max(0, len(o.ids)-keptInTest):], id)
}

func (o oracle) clone() oracle {
	return oracle{rows: maps.Clone(o.rows), accepted: maps.Clone(o.accepted), edits: slices.Clone(o.edits), ids: slices.Clone(o.ids)}
}

// next returns the state after a record at an offset; e is nil for other records.
func (o oracle) next(offset int64, e *table.Edit) oracle {
	if e == nil {
		return o
	}
	n := o.clone()
	_, repeated := n.accepted[e.ID]
	forgotten := len(n.edits) > keptInTest && e.Seen < n.edits[len(n.edits)-keptInTest-1]
	if repeated && !n.remembers(e.ID) {
		n.edits, n.ids = append(n.edits, offset+1), append(n.ids, e.ID)
	}
	if repeated {
		return n
	}
	rows := maps.Clone(n.rows)
	ok := !forgotten
	for _, r := range e.Rows {
		ok = ok && n.rows[r.Key()].Version == r.Base
		delete(rows, r.Key())
		if !r.Delete {
			rows[r.Key()] = table.RowState{Row: r.Row, Version: offset + 1}
		}
	}
	n.edits, n.ids = append(n.edits, offset+1), append(n.ids, e.ID)
	n.accepted[e.ID] = ok && sound(rows)
	if n.accepted[e.ID] {
		n.rows = rows
	}
	return n
}

// sound restates the rules that the drawn rows can break.
func sound(rows map[table.Key]table.RowState) bool {
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

// replica is one reader with what the process around it keeps.
type replica struct {
	m *table.Machine
	r *replay.Sequencer
	// records are what it can pass on to others.
	records map[int64]replay.Record
}

func newReplica() *replica {
	m := table.NewMachine()
	m.SetVerdictLimit(keptInTest)
	return &replica{m: m, r: replay.New(0), records: map[int64]replay.Record{}}
}

// world is the log, the oracle's state at every version, and the replicas.
type world struct {
	g        *WithT
	log      [][]byte
	earliest int64
	states   []oracle
	edits    []table.Edit
	replicas []*replica
	digests  map[int64]string
	verdicts map[string]table.Verdict
	reached  []int64
}

func newWorld(t *rapid.T) *world {
	w := &world{g: NewWithT(t), digests: map[int64]string{}, verdicts: map[string]table.Verdict{}}
	w.states = []oracle{{rows: map[table.Key]table.RowState{}, accepted: map[string]bool{}}}
	for range 3 {
		w.replicas = append(w.replicas, newReplica())
		w.reached = append(w.reached, 0)
	}
	return w
}

func (w *world) append(data []byte, e *table.Edit) {
	offset := int64(len(w.log))
	w.log = append(w.log, data)
	w.states = append(w.states, w.states[offset].next(offset, e))
}

func (w *world) pick(t *rapid.T) *replica {
	return w.replicas[rapid.IntRange(0, len(w.replicas)-1).Draw(t, "replica")]
}

func (w *world) submit(t *rapid.T) {
	tab := w.pick(t).m.Table()
	e := table.Edit{ID: fmt.Sprint("e", len(w.edits)), Seen: tab.Version}
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
	w.edits = append(w.edits, e)
	w.appendEdit(e, rapid.IntRange(1, 2).Draw(t, "copies"))
}

func (w *world) appendEdit(e table.Edit, copies int) {
	data, err := table.EncodeEdit(e)
	w.g.Expect(err).NotTo(HaveOccurred())
	for range copies {
		w.append(data, &e)
	}
}

// retry appends an old edit's record again, as a late or repeated append does.
func (w *world) retry(t *rapid.T) {
	if len(w.edits) > 0 {
		w.appendEdit(rapid.SampledFrom(w.edits).Draw(t, "edit"), 1)
	}
}

// snapshot appends a replica's snapshot, or a damaged copy of it.
func (w *world) snapshot(t *rapid.T) {
	s := w.pick(t).m.Snapshot()
	switch rapid.IntRange(0, 3).Draw(t, "damage") {
	case 0:
		s.Rows = append(s.Rows, table.RowState{Row: drawRow(t), Version: s.Version})
	case 1:
		s.Version++
	}
	data, err := table.EncodeSnapshot(s)
	w.g.Expect(err).NotTo(HaveOccurred())
	w.append(data, nil)
}

func (w *world) junk(t *rapid.T) {
	w.append([]byte(rapid.SampledFrom([]string{"", "{}", `{"type":"edit"}`, "[1", `{"type":"edit","id":"e0","x":1}`}).Draw(t, "junk")), nil)
}

// read gives a replica any records of the log, in any order, some twice.
func (w *world) read(t *rapid.T) {
	x := w.pick(t)
	x.r.SetBounds(w.earliest, int64(len(w.log)))
	if x.r.NeedsSnapshot() {
		w.bridge(x)
	}
	if int64(len(w.log)) == w.earliest {
		return
	}
	offsets := rapid.SliceOfN(rapid.Int64Range(w.earliest, int64(len(w.log)-1)), 1, 8).Draw(t, "offsets")
	if rapid.Bool().Draw(t, "page") {
		offsets = nil
		for o := max(w.earliest, x.r.Next()); o < int64(len(w.log)); o++ {
			offsets = append(offsets, o)
		}
	}
	for _, o := range offsets {
		w.deliver(x, x.r.Add(replay.Record{Offset: o, Data: w.log[o]}))
	}
}

// bridge looks for a snapshot in the log, as a reader with a gap does.
func (w *world) bridge(x *replica) {
	for o := w.earliest; o < int64(len(w.log)); o++ {
		s, err := table.DecodeSnapshot(w.log[o])
		if err == nil && s.Version >= w.earliest && s.Version <= o {
			w.restore(x, s)
		}
	}
}

func (w *world) restore(x *replica, s table.Snapshot) {
	if x.m.Restore(s) == nil {
		w.deliver(x, x.r.SkipTo(s.Version))
	}
}

func (w *world) deliver(x *replica, ready []replay.Record) {
	for _, record := range ready {
		x.records[record.Offset] = record
		outcome, v, err := x.m.Apply(table.Record(record))
		w.g.Expect(err).NotTo(HaveOccurred())
		again, _, err := x.m.Apply(table.Record(record))
		w.g.Expect(again, err).To(Equal(table.OutcomeStale))
		if outcome == table.OutcomeEdit {
			key := fmt.Sprint(v.EditID, "@", v.Version)
			if first, ok := w.verdicts[key]; ok {
				w.g.Expect(v).To(Equal(first))
			}
			w.verdicts[key] = v
		}
	}
}

// pull passes records, or else a snapshot, from one replica to another; the one
// asked may be behind.
func (w *world) pull(t *rapid.T) {
	from, to := w.pick(t), w.pick(t)
	if from == to {
		return
	}
	if rapid.Bool().Draw(t, "snapshot") {
		w.restore(to, from.m.Snapshot())
		return
	}
	for _, record := range from.records {
		w.deliver(to, to.r.Add(record))
	}
}

func (w *world) trim(t *rapid.T) {
	w.earliest = rapid.Int64Range(w.earliest, int64(len(w.log))).Draw(t, "earliest")
}

func (w *world) restart(t *rapid.T) {
	i := rapid.IntRange(0, len(w.replicas)-1).Draw(t, "replica")
	w.replicas[i], w.reached[i] = newReplica(), 0
}

// check compares every replica with the oracle at the replica's version.
func (w *world) check() {
	for i, x := range w.replicas {
		version := x.m.Version()
		w.g.Expect(version).To(BeNumerically(">=", w.reached[i]), "version went down")
		w.reached[i] = version
		w.g.Expect(x.r.Next()).To(Equal(version))
		w.g.Expect(table.Validate(x.m.Table())).To(BeEmpty())
		got := map[table.Key]table.RowState{}
		for _, row := range x.m.Table().Rows() {
			got[table.Key{Kind: row.Kind, Name: nameOf(row.Row)}] = row
		}
		w.g.Expect(got).To(Equal(w.states[version].rows), "version %d", version)
		if first, ok := w.digests[version]; ok {
			w.g.Expect(x.m.Digest()).To(Equal(first))
		}
		w.digests[version] = x.m.Digest()
		for _, v := range x.m.History() {
			if want, ok := w.states[version].accepted[v.EditID]; ok && v.Reason != table.ReasonTooOld {
				w.g.Expect(v.Accepted).To(Equal(want), v.EditID)
			}
		}
	}
}

// TestReplicasFollowTheOracle draws racing editors, lost, repeated, reordered and
// late records, a trimmed log, restarts, stale peers and damaged snapshots.
func TestReplicasFollowTheOracle(t *testing.T) {
	accepted, rejected := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit": w.submit, "submit2": w.submit, "retry": w.retry, "snapshot": w.snapshot, "junk": w.junk,
			"read": w.read, "read2": w.read, "pull": w.pull, "trim": w.trim, "restart": w.restart,
			"": func(*rapid.T) { w.check() },
		})
		for _, ok := range w.states[len(w.log)].accepted {
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

// TestSelfConsistentLieIsIgnored offers a reader a snapshot that is whole in itself
// and differs from what the reader replayed.
func TestSelfConsistentLieIsIgnored(t *testing.T) {
	g := NewWithT(t)
	honest, liar := table.NewMachine(), table.NewMachine()
	for i, m := range []*table.Machine{honest, liar} {
		data, err := table.EncodeEdit(table.Edit{ID: "e", Rows: []table.RowEdit{{
			Row:  table.Row{Kind: table.KindTier, Tier: &table.Tier{Name: "urgent", Rank: i}},
			Name: "urgent",
		}}})
		g.Expect(err).NotTo(HaveOccurred())
		_, v, err := m.Apply(table.Record{Data: data})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(v.Accepted).To(BeTrue())
	}
	lie, err := table.EncodeSnapshot(liar.Snapshot())
	g.Expect(err).NotTo(HaveOccurred())
	outcome, _, err := honest.Apply(table.Record{Offset: 1, Data: lie})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(outcome).To(Equal(table.OutcomeDisagrees))
	g.Expect(honest.Table().Tiers["urgent"].Rank).To(BeZero())
	g.Expect(honest.Restore(liar.Snapshot())).To(MatchError(table.ErrNotNewer))
	agrees, checked := honest.Agrees(liar.Snapshot())
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
