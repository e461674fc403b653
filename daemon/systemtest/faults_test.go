package systemtest

import (
	"fmt"
	"math/rand"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosespoke.dev/coord/membership"
	"primrosespoke.dev/daemon/internal/relay"
)

// mesh is a cluster in which each entry has an instance list of its own and reaches
// each agent through a relay of its own, so that the link between one entry and one
// agent can fail alone.
type mesh struct {
	*cluster
	entries []*member
	agents  []*member
	links   map[string]*relay.Relay // by the IDs of entry and agent, with a space between
}

// newMesh starts a mesh with the given number of entries and with the agents that
// startAgents starts, and waits until all members are ready.
func newMesh(entries int, startAgents func(c *cluster) []*member) *mesh {
	m := &mesh{cluster: newCluster(), links: map[string]*relay.Relay{}}
	m.appendTable(standardTable()...)
	m.agents = startAgents(m.cluster)
	shared := m.listURL
	lists := make([]string, entries)
	for i := range entries {
		lists[i] = "http://" + start(fmt.Sprintf("instances-%d", i+1), binaries.tool, "emulate", "instances").awaitAddress()
		m.listURL = lists[i]
		m.entries = append(m.entries, m.entry(fmt.Sprintf("entry-%d", i+1), fmt.Sprintf("domain-%d", i+1)))
	}
	m.listURL = shared
	for i, e := range m.entries {
		m.setState(e, membership.StateLive)
		for _, a := range m.agents {
			m.link(lists[i], e, a)
		}
		for _, other := range m.entries {
			m.setStateAt(lists[i], other.Instance, membership.StateLive)
		}
	}
	m.awaitReady()
	return m
}

// link starts a relay to an agent and lists the relay's address as the agent's in the
// instance list of one entry.
func (m *mesh) link(list string, e, a *member) {
	r, err := relay.New(a.Address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(r.Close)
	m.links[e.ID+" "+a.ID] = r
	seen := a.Instance
	seen.Address = r.Address()
	m.setStateAt(list, seen, membership.StateLive)
}

// heal ends every fault and restarts the members that have exited.
func (m *mesh) heal() {
	for _, p := range m.members {
		p.thaw()
	}
	for _, r := range m.links {
		r.Reset()
		r.Pass()
	}
	for _, a := range m.agents {
		setFaults(a.endpointURL, map[string]any{})
	}
	for _, p := range m.members {
		select {
		case <-p.done:
			p.restart()
		default:
		}
	}
}

// failure is one failure of a process, an endpoint or a link. It begins at a time
// after the start of the run and ends after its duration.
type failure struct {
	at, duration time.Duration
	name         string
	targetMu     *sync.Mutex // held during the failure: a member has one failure at a time, different members may fail together
	begin        func()
	end          func()
}

// randomFailures returns failures that begin at random times within the length of a run.
func (m *mesh) randomFailures(rng *rand.Rand, count int, length time.Duration) []failure {
	var all []failure
	for range count {
		f := m.randomFailure(rng)
		f.at = time.Duration(rng.Int63n(int64(length)))
		f.duration = 200*time.Millisecond + time.Duration(rng.Int63n(int64(3*time.Second)))
		all = append(all, f)
	}
	return all
}

// randomFailure returns a failure of random kind without its times.
func (m *mesh) randomFailure(rng *rand.Rand) failure {
	e := m.entries[rng.Intn(len(m.entries))]
	a := m.agents[rng.Intn(len(m.agents))]
	link := m.links[e.ID+" "+a.ID]
	engineFault := func(faults map[string]any) (func(), func()) {
		return func() { setFaults(a.endpointURL, faults) }, func() { setFaults(a.endpointURL, map[string]any{}) }
	}
	f := failure{end: func() {}, targetMu: &a.failureMu}
	kind := rng.Intn(9)
	if kind == 1 || kind == 3 {
		f.targetMu = &e.failureMu
	}
	switch kind {
	case 0:
		f.name, f.begin, f.end = "kill "+a.ID, a.kill, a.restart
	case 1:
		f.name, f.begin, f.end = "kill "+e.ID, e.kill, e.restart
	case 2:
		f.name, f.begin, f.end = "freeze "+a.ID, a.freeze, a.thaw
	case 3:
		f.name, f.begin, f.end = "freeze "+e.ID, e.freeze, e.thaw
	case 4:
		f.name, f.begin, f.end = "stall link "+e.ID+" "+a.ID, func() { link.Stall() }, link.Pass
	case 5:
		f.name, f.begin = "reset link "+e.ID+" "+a.ID, link.Reset
	case 6:
		f.name, f.begin, f.end = "one-way loss to "+e.ID+" from "+a.ID, func() { link.Drop(relay.ToClient) },
			func() { link.Reset(); link.Pass() }
	case 7:
		f.name = "cut streams of " + a.ID
		f.begin, f.end = engineFault(map[string]any{"cut_after": 2 + rng.Intn(6), "times": 4})
	default:
		f.name = "slow " + a.ID
		f.begin, f.end = engineFault(map[string]any{"slow": 5})
	}
	return f
}

// injectFailures carries out the failures and returns when all have ended. Failures
// of different members may overlap.
func injectFailures(failures []failure) {
	started := time.Now()
	var all sync.WaitGroup
	for _, f := range failures {
		all.Go(func() {
			defer GinkgoRecover()
			time.Sleep(f.at)
			f.targetMu.Lock()
			defer f.targetMu.Unlock()
			fmt.Fprintf(GinkgoWriter, "%v %s for %v\n", time.Since(started).Round(time.Millisecond), f.name, f.duration)
			f.begin()
			time.Sleep(f.duration)
			f.end()
		})
	}
	all.Wait()
}
