package tablesync_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/coord/membership"
	"primrosespoke.dev/coord/table"
	fake "primrosespoke.dev/daemon/fake/logservice"
	"primrosespoke.dev/daemon/peer/node/nodepb"
	"primrosespoke.dev/daemon/tablesync"
)

const stream = tablesync.DefaultStream

// TestStartDuringLogOutageTakesNewestTableOfPeers: a process that starts while the log
// is unavailable becomes ready with the table of its peers. It can't submit an edit until the log is
// back.
func TestStartDuringLogOutageTakesNewestTableOfPeers(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, fake.Config{}, testTiming)
	c.start(4, membership.RoleEntry)
	v := c.mustSubmit(c.processes[0], tierEdit("1", c.processes[0].Current(), map[string]int{"a": 0, "b": 1}))
	c.waitForVersion(v.Version)
	c.log.SetOutage(true)
	c.restart(1)
	g.Eventually(c.processes[1].Ready, 20*time.Second).Should(BeTrue())
	g.Expect(c.processes[1].Current().Tiers).To(HaveLen(2))
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err := c.processes[1].Submit(ctx, tierEdit("2", c.processes[1].Current(), map[string]int{"c": 2}))
	g.Expect(err).To(MatchError(tablesync.ErrNotSubmitted))
	c.log.SetOutage(false)
	c.mustSubmit(c.processes[1], tierEdit("2", c.processes[1].Current(), map[string]int{"c": 2}))
}

// TestStartAfterLogTrimRestoresFromSnapshot: the only process is replaced after the log has
// dropped the edits, so that only a snapshot in the log still holds them and their verdicts.
func TestStartAfterLogTrimRestoresFromSnapshot(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, fake.Config{}, testTiming)
	c.start(1, membership.RoleEntry)
	p := c.processes[0]
	c.mustSubmit(p, tierEdit("1", p.Current(), map[string]int{"a": 0}))
	v := c.mustSubmit(p, tierEdit("2", p.Current(), map[string]int{"b": 1}))
	g.Eventually(func() int64 { return p.Current().Version }, 20*time.Second).Should(BeNumerically(">", v.Version))
	c.log.TrimTo(stream, v.Version)
	c.restart(0)
	p = c.processes[0]
	g.Eventually(p.Ready, 20*time.Second).Should(BeTrue())
	g.Expect(p.Current().Tiers).To(HaveLen(2))
	again, err := p.Submit(context.Background(), tierEdit("2", p.Current(), map[string]int{"b": 7}))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again.Version).To(Equal(v.Version), "the first verdict of an edit ID stands")
	g.Expect(p.Current().Tiers["b"].Rank).To(Equal(1))
}

// TestPartitionedProcessCatchesUpAfterLogTrim: the log drops records while a process
// is partitioned. Afterwards the process gets the newest table, and no process takes its old one.
func TestPartitionedProcessCatchesUpAfterLogTrim(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, fake.Config{}, testTiming)
	c.start(6, membership.RoleEntry)
	first := c.mustSubmit(c.processes[0], tierEdit("1", c.processes[0].Current(), map[string]int{"a": 0}))
	c.waitForVersion(first.Version)
	old := c.processes[5]
	old.partitioned.Store(true)
	second := c.mustSubmit(c.processes[0], tierEdit("2", c.processes[0].Current(), map[string]int{"a": 3}))
	g.Eventually(func() int64 { return c.processes[0].Current().Version }, 20*time.Second).Should(BeNumerically(">", second.Version))
	c.log.TrimTo(stream, second.Version)
	g.Expect(c.processes[0].Current().Tiers["a"].Rank).To(Equal(3))
	old.partitioned.Store(false)
	c.waitForVersion(second.Version)
	for _, p := range c.processes {
		g.Expect(p.Current().Tiers["a"].Rank).To(Equal(3))
	}
}

// fixedReplyPeer is a peer that always returns the same reply without waiting, and counts the calls.
type fixedReplyPeer struct {
	reply *nodepb.PullReply
	pulls *atomic.Int64
}

func (p fixedReplyPeer) Table(string) nodepb.Table { return p }

func (p fixedReplyPeer) Pull(context.Context, *nodepb.PullRequest) (*nodepb.PullReply, error) {
	p.pulls.Add(1)
	return p.reply, nil
}

// TestOlderAndDamagedSnapshotsOfPeersAreRefused: peers return a snapshot of an older
// version, or one whose contents do not match its digest.
func TestOlderAndDamagedSnapshotsOfPeersAreRefused(t *testing.T) {
	c := newCluster(t, fake.Config{}, testTiming)
	c.start(1, membership.RoleEntry)
	p := c.processes[0]
	c.mustSubmit(p, tierEdit("1", p.Current(), map[string]int{"a": 0}))
	older := table.NewMachine()
	_, bodies := c.log.Records(stream)
	for i, body := range bodies {
		_, _, err := older.Apply(table.Record{Offset: int64(i), Data: body})
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
	}
	v := c.mustSubmit(p, tierEdit("2", p.Current(), map[string]int{"a": 1}))
	damaged := older.Snapshot()
	damaged.Version = 1000
	for name, snapshot := range map[string]table.Snapshot{"older": older.Snapshot(), "damaged": damaged} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			data, err := table.EncodeSnapshot(snapshot)
			g.Expect(err).NotTo(HaveOccurred())
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var pulls atomic.Int64
			syncer, err := tablesync.New(tablesync.Config{
				Log: p, Self: "self", Timing: testTiming,
				Peers: fixedReplyPeer{reply: &nodepb.PullReply{Snapshot: data, Next: snapshot.Version}, pulls: &pulls},
				Members: func() membership.View {
					return membership.NewView([]membership.Instance{{ID: "1", Address: "1"}, {ID: "2", Address: "2"}, {ID: "3", Address: "3"}})
				},
			})
			g.Expect(err).NotTo(HaveOccurred())
			updates, _ := syncer.Subscribe()
			go syncer.Run(ctx)
			newest := int64(0)
			for newest < v.Version {
				next := <-updates
				g.Expect(next.Version).To(BeNumerically(">", newest))
				newest = next.Version
			}
			// The peers are still pulled from, with backoff, and their snapshots have no effect.
			before, begin := pulls.Load(), time.Now()
			g.Eventually(pulls.Load, 20*time.Second).Should(BeNumerically(">", before+10))
			passed := pulls.Load() - before
			g.Expect(float64(passed)).To(BeNumerically("<", 40+time.Since(begin).Seconds()*1000))
			g.Expect(syncer.Current().Version).To(BeNumerically(">=", v.Version))
			g.Expect(syncer.Current().Tiers["a"].Rank).To(Equal(1))
		})
	}
}

// TestUnreachableParentsFallBackToLog: the instance list holds no parents but entries that
// no longer exist, so the process must read the log.
func TestUnreachableParentsFallBackToLog(t *testing.T) {
	g := NewWithT(t)
	timing := testTiming
	timing.LogCheckInterval = time.Hour
	c := newCluster(t, fake.Config{}, timing)
	for _, id := range []string{"gone-1", "gone-2", "gone-3", "gone-4"} {
		c.members = append(c.members, membership.Instance{ID: id, Role: membership.RoleEntry, Address: "127.0.0.1:1"})
	}
	c.start(1, membership.RoleAgent)
	p := c.processes[0]
	g.Eventually(p.Ready, 20*time.Second).Should(BeTrue())
	g.Eventually(func() bool { return p.Dump(context.Background()).ReadsLog }, 20*time.Second).Should(BeTrue())
	data, err := table.EncodeEdit(tierEdit("1", p.Current(), map[string]int{"a": 0}))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = p.Append(context.Background(), stream, data)
	g.Expect(err).NotTo(HaveOccurred())
	c.waitForVersion(1)
}

// hangingPeer is a peer that accepts calls and never replies, like a suspended process.
type hangingPeer struct{}

func (p hangingPeer) Table(string) nodepb.Table { return p }

func (hangingPeer) Pull(ctx context.Context, _ *nodepb.PullRequest) (*nodepb.PullReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestHangingParentsFallBackToLog: no parent replies, so the process must read the log.
func TestHangingParentsFallBackToLog(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, fake.Config{}, testTiming)
	c.start(4, membership.RoleEntry)
	timing := testTiming
	timing.LogCheckInterval = time.Hour
	syncer, err := tablesync.New(tablesync.Config{
		Log: c.processes[0], Peers: hangingPeer{}, Members: c.view, Self: "unlisted", Timing: timing,
	})
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go syncer.Run(ctx)
	g.Eventually(syncer.Ready, 20*time.Second).Should(BeTrue())
	g.Expect(syncer.Dump(ctx).Parents).To(HaveLen(2))
	v := c.mustSubmit(c.processes[0], tierEdit("1", c.processes[0].Current(), map[string]int{"a": 0}))
	g.Eventually(func() int64 { return syncer.Current().Version }, 20*time.Second).Should(BeNumerically(">=", v.Version))
}
