package tablesync_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"primrosespoke.dev/coord/membership"
	"primrosespoke.dev/coord/table"
	fake "primrosespoke.dev/daemon/fake/logservice"
	"primrosespoke.dev/daemon/peer/logservice"
	"primrosespoke.dev/daemon/peer/node"
	"primrosespoke.dev/daemon/peer/node/nodepb"
	"primrosespoke.dev/daemon/tablesync"
)

var testTiming = tablesync.Timing{
	LogWait: time.Second, PullWait: time.Second, PullGrace: 500 * time.Millisecond,
	LogCheckInterval: 2 * time.Second, RetryMin: 5 * time.Millisecond, RetryMax: 50 * time.Millisecond,
	SnapshotInterval: 200 * time.Millisecond, PositionInterval: 20 * time.Millisecond,
}

// cluster is a fake log service and several processes that communicate over loopback.
type cluster struct {
	t         testing.TB
	log       *fake.Server
	logURL    string
	timing    tablesync.Timing
	mu        sync.Mutex
	members   []membership.Instance
	processes []*process
	// bytes counts the bytes that the processes' internal listeners receive and send.
	bytes atomic.Int64
}

// process is one Syncer with its internal listener.
type process struct {
	*tablesync.Syncer
	logservice.Client
	peers *node.Client
	// partitioned makes the log and the other processes unreachable for the process.
	partitioned atomic.Bool
	address     string
	stop        context.CancelFunc
	done        chan struct{}
}

func (p *process) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if p.partitioned.Load() {
		return 0, logservice.ErrUnavailable
	}
	return p.Client.Append(ctx, stream, data)
}

func (p *process) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (logservice.Page, error) {
	page, err := p.Client.Read(ctx, stream, from, limit, wait)
	if p.partitioned.Load() {
		return logservice.Page{}, logservice.ErrUnavailable
	}
	return page, err
}

func (p *process) Table(address string) nodepb.Table {
	if p.partitioned.Load() {
		address = "127.0.0.1:1"
	}
	return p.peers.Table(address)
}

func newCluster(t testing.TB, cfg fake.Config, timing tablesync.Timing) *cluster {
	c := &cluster{t: t, log: fake.New(cfg), timing: timing}
	server := httptest.NewServer(c.log)
	c.logURL = server.URL
	t.Cleanup(func() {
		for _, p := range c.processes {
			p.stop()
		}
		for _, p := range c.processes {
			p.stopAndWait()
		}
		server.CloseClientConnections()
		server.Close()
	})
	return c
}

func (c *cluster) view() membership.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return membership.NewView(c.members)
}

// start adds n processes of a role; all are in the instance list before the first one runs.
func (c *cluster) start(n int, role membership.Role) {
	g := NewWithT(c.t)
	var listeners []net.Listener
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		listeners = append(listeners, l)
		c.mu.Lock()
		c.members = append(c.members, membership.Instance{
			ID: fmt.Sprint("i-", len(c.members)), Role: role, State: membership.StateLive,
			Address: l.Addr().String(), FailureDomain: fmt.Sprint(len(c.members) % 3),
		})
		c.mu.Unlock()
	}
	for _, l := range listeners {
		c.run(l)
	}
}

// run starts a Syncer and its internal listener on l and adds it to the processes.
func (c *cluster) run(l net.Listener) *process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{
		Client: *logservice.New(c.logURL, logservice.Options{Timeout: 2 * time.Second}),
		peers:  node.NewClient(), address: l.Addr().String(), stop: cancel, done: make(chan struct{}),
	}
	syncer, err := tablesync.New(tablesync.Config{
		Log: p, Peers: p, Members: c.view, Self: p.address, Timing: c.timing, Logger: zerolog.Nop(),
	})
	NewWithT(c.t).Expect(err).NotTo(HaveOccurred())
	p.Syncer = syncer
	mux := http.NewServeMux()
	server := nodepb.NewTableServer(syncer)
	mux.Handle(server.PathPrefix(), server)
	var parts sync.WaitGroup
	parts.Go(func() { syncer.Run(ctx) })
	parts.Go(func() { _ = node.Serve(ctx, countingListener{l, &c.bytes}, mux) })
	go func() { parts.Wait(); close(p.done) }()
	c.processes = append(c.processes, p)
	return p
}

// stopAndWait stops the process and waits until its goroutines have ended.
func (p *process) stopAndWait() {
	p.stop()
	<-p.done
	p.peers.Close()
}

// restart replaces a process by one with an empty table, a new ID and a new address.
func (c *cluster) restart(i int) {
	old := c.processes[i]
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(c.t).Expect(err).NotTo(HaveOccurred())
	c.mu.Lock()
	for k := range c.members {
		if c.members[k].Address == old.address {
			c.members[k].Address = l.Addr().String()
			c.members[k].ID += "x"
		}
	}
	c.mu.Unlock()
	old.stopAndWait()
	fresh := c.run(l)
	c.processes = c.processes[:len(c.processes)-1]
	c.processes[i] = fresh
}

// waitForVersion waits until every process has at least a version.
func (c *cluster) waitForVersion(version int64) {
	NewWithT(c.t).Eventually(func() int64 {
		least := version
		for _, p := range c.processes {
			least = min(least, p.Current().Version)
		}
		return least
	}, 30*time.Second, time.Millisecond).Should(Equal(version))
}

// tierEdit returns an edit of the tiers named in ranks, based on the row versions of a table.
func tierEdit(id string, t *table.Table, ranks map[string]int) table.Edit {
	e := table.Edit{ID: id, Editor: "test", Seen: t.Version}
	for _, name := range []string{"a", "b", "c"} {
		rank, ok := ranks[name]
		if !ok {
			continue
		}
		row := table.RowEdit{Row: table.Row{Kind: table.KindTier, Tier: &table.Tier{Name: name, Rank: rank}}, Name: name}
		row.Base = t.RowVersion(row.Key())
		e.Rows = append(e.Rows, row)
	}
	return e
}

// mustSubmit submits an edit and fails the test unless it is accepted.
func (c *cluster) mustSubmit(p *process, e table.Edit) table.Verdict {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	v, err := p.Submit(ctx, e)
	g := NewWithT(c.t)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(v.Accepted).To(BeTrue(), "%+v", v)
	return v
}
