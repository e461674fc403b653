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

// countingListener counts the bytes read and written on all connections that it accepts.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.bytes}, nil
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkEditPropagation measures the time from the submission of an edit to its
// acceptance, and from there until every process has the new table, with default intervals.
func BenchmarkEditPropagation(b *testing.B) {
	for _, n := range []int{2, 4, 8, 16, 32, 64} {
		b.Run(fmt.Sprint("processes=", n), func(b *testing.B) {
			c := newCluster(b, fake.Config{}, tablesync.Timing{PositionInterval: 50 * time.Millisecond})
			entries := min(n, 4)
			c.start(entries, membership.RoleEntry)
			c.start(n-entries, membership.RoleAgent)
			c.mustSubmit(c.processes[0], tierEdit("first", c.processes[0].Current(), map[string]int{"a": 0}))
			c.waitForVersion(1)
			// The overlay is stable once every process has seen the whole instance list.
			time.Sleep(500 * time.Millisecond)
			var accepted, last []time.Duration
			for i := 0; b.Loop(); i++ {
				a, l := c.propagate(fmt.Sprint("e", i), i%90)
				accepted, last = append(accepted, a), append(last, l)
			}
			reportPercentiles(b, "accepted", accepted)
			reportPercentiles(b, "last", last)
		})
	}
}

// propagate submits an edit and returns the time until it was accepted and from there until all
// processes have it.
func (c *cluster) propagate(id string, rank int) (accepted, last time.Duration) {
	target := c.processes[0].Current().Version + 1
	var watchers sync.WaitGroup
	for _, p := range c.processes {
		updates, cancel := p.Subscribe()
		watchers.Go(func() {
			defer cancel()
			for p.Current().Version < target {
				<-updates
			}
		})
	}
	begin := time.Now()
	c.mustSubmit(c.processes[0], tierEdit(id, c.processes[0].Current(), map[string]int{"a": rank}))
	accepted = time.Since(begin)
	watchers.Wait()
	return accepted, time.Since(begin) - accepted
}

// reportPercentiles reports the 50th and the 99th percentile of times in milliseconds.
func reportPercentiles(b *testing.B, name string, times []time.Duration) {
	slices.Sort(times)
	for _, q := range []int{50, 99} {
		at := times[len(times)*q/100]
		b.ReportMetric(float64(at.Microseconds())/1000, fmt.Sprintf("ms-%s-p%d", name, q))
	}
}

// BenchmarkIdleTraffic measures the bytes per second that one process exchanges with others over
// the internal protocol, HTTP/2 pings included, and its reads of the log, while there are no edits.
func BenchmarkIdleTraffic(b *testing.B) {
	for _, n := range []int{16, 64} {
		b.Run(fmt.Sprint("processes=", n), func(b *testing.B) {
			c := newCluster(b, fake.Config{}, tablesync.Timing{})
			c.start(4, membership.RoleEntry)
			c.start(n-4, membership.RoleAgent)
			c.mustSubmit(c.processes[0], tierEdit("first", c.processes[0].Current(), map[string]int{"a": 0}))
			c.waitForVersion(1)
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
