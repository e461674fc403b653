package tablesync_test

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"primrosespoke.dev/coord/membership"
	fake "primrosespoke.dev/daemon/fake/logservice"
	"primrosespoke.dev/daemon/tablesync"
)

// countedListener counts the bytes of all connections it accepts.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.bytes}, nil
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkLastProcess measures from the submission of an edit to its acceptance,
// and from there until the last process has it in force, with default intervals.
func BenchmarkLastProcess(b *testing.B) {
	for _, n := range []int{2, 4, 8, 16, 32, 64} {
		b.Run(fmt.Sprint("processes=", n), func(b *testing.B) {
			c := newCluster(b, fake.Config{}, tablesync.Timing{PositionInterval: 50 * time.Millisecond})
			entries := min(n, 4)
			c.start(entries, membership.RoleEntry)
			c.start(n-entries, membership.RoleAgent)
			c.must(c.nodes[0], tierEdit("first", c.nodes[0].Current(), map[string]int{"a": 0}))
			c.reach(1)
			// The overlay settles once every process has seen the whole list.
			time.Sleep(500 * time.Millisecond)
			var accepted, last []time.Duration
			for i := 0; b.Loop(); i++ {
				a, l := c.spread(fmt.Sprint("e", i), i%90)
				accepted, last = append(accepted, a), append(last, l)
			}
			report(b, "accepted", accepted)
			report(b, "last", last)
		})
	}
}

func (c *cluster) spread(id string, rank int) (accepted, last time.Duration) {
	target := c.nodes[0].Current().Version + 1
	var watchers sync.WaitGroup
	for _, p := range c.nodes {
		updates, cancel := p.Subscribe()
		watchers.Go(func() {
			defer cancel()
			for p.Current().Version < target {
				<-updates
			}
		})
	}
	begin := time.Now()
	c.must(c.nodes[0], tierEdit(id, c.nodes[0].Current(), map[string]int{"a": rank}))
	accepted = time.Since(begin)
	watchers.Wait()
	return accepted, time.Since(begin) - accepted
}

func report(b *testing.B, name string, times []time.Duration) {
	slices.Sort(times)
	for _, q := range []int{50, 99} {
		at := times[len(times)*q/100]
		b.ReportMetric(float64(at.Microseconds())/1000, fmt.Sprintf("ms-%s-p%d", name, q))
	}
}

// BenchmarkIdleTraffic measures the bytes that one process exchanges with others
// over the internal protocol while no edit comes, HTTP/2 probes included.
func BenchmarkIdleTraffic(b *testing.B) {
	for _, n := range []int{16, 64} {
		b.Run(fmt.Sprint("processes=", n), func(b *testing.B) {
			c := newCluster(b, fake.Config{}, tablesync.Timing{})
			c.start(4, membership.RoleEntry)
			c.start(n-4, membership.RoleAgent)
			c.must(c.nodes[0], tierEdit("first", c.nodes[0].Current(), map[string]int{"a": 0}))
			c.reach(1)
			time.Sleep(2 * time.Second)
			begin, before := time.Now(), c.bytes.Load()
			_, reads := c.log.Counts()
			for b.Loop() {
				time.Sleep(10 * time.Second)
			}
			seconds := time.Since(begin).Seconds()
			_, after := c.log.Counts()
			// Each byte is sent by one process and received by another.
			b.ReportMetric(2*float64(c.bytes.Load()-before)/seconds/float64(n), "B/s/process")
			b.ReportMetric(float64(after-reads)/seconds/float64(n), "logreads/s/process")
		})
	}
}
