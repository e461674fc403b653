// Package systemtest runs the real binaries as processes on loopback, each part
// its own process, and judges by what the stand-ins executed and what the
// callers received.
package systemtest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosespoke.dev/coord/membership"
	"primrosespoke.dev/coord/table"
	"primrosespoke.dev/daemon/peer/logservice"
)

// conditionTimeout bounds waits for a condition that must come about; it is no verdict on speed.
const conditionTimeout = 60 * time.Second

var binaries struct{ daemon, tool string }

// build compiles both binaries with the race detector.
func build() {
	dir, err := os.MkdirTemp("", "systemtest")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, dir)
	cmd := exec.Command("go", "build", "-race", "-o", dir, "primrosespoke.dev/daemon/cmd/...")
	out, err := cmd.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	binaries.daemon = filepath.Join(dir, "primrosespoke")
	binaries.tool = filepath.Join(dir, "spokectl")
}

// proc is one process that the test started.
type proc struct {
	name string
	cmd  *exec.Cmd
	out  *lockedBuffer
	done chan struct{}
	err  error
}

type lockedBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// start runs a binary. What it still runs at the spec's end is killed.
func start(name, binary string, args ...string) *proc {
	p := &proc{name: name, cmd: exec.Command(binary, args...), out: &lockedBuffer{}, done: make(chan struct{})}
	p.cmd.Stdout = p.out
	p.cmd.Stderr = p.out
	Expect(p.cmd.Start()).To(Succeed())
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	DeferCleanup(func() {
		p.kill()
		text := p.out.String()
		if CurrentSpecReport().Failed() {
			fmt.Fprintf(GinkgoWriter, "--- %s\n%s\n", name, tail(text, 60))
		}
		Expect(text).NotTo(ContainSubstring("DATA RACE"), name)
		Expect(text).NotTo(ContainSubstring("invariant_violated"), name)
		Expect(text).NotTo(ContainSubstring("panic:"), name)
	})
	return p
}

func tail(text string, lines int) string {
	all := strings.Split(text, "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

func (p *proc) signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// kill ends the process at once, also when it is stopped.
func (p *proc) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// freeze stops the process until thaw.
func (p *proc) freeze() { p.signal(syscall.SIGSTOP) }

func (p *proc) thaw() { p.signal(syscall.SIGCONT) }

// awaitAddress waits for the address that a stand-in prints.
func (p *proc) awaitAddress() string {
	var address string
	Eventually(func(g Gomega) {
		_, rest, found := strings.Cut(p.out.String(), "listening on ")
		g.Expect(found).To(BeTrue(), p.out.String())
		line, whole := bufio.NewReader(strings.NewReader(rest)).ReadString('\n')
		g.Expect(whole).NotTo(HaveOccurred())
		address = strings.TrimSpace(line)
	}).WithTimeout(conditionTimeout).WithPolling(10 * time.Millisecond).Should(Succeed())
	return address
}

// Ports of the members lie below the range from which systems take the ports of
// outgoing connections, so that a member finds its port free when it restarts.
const (
	firstPort = 20000
	lastPort  = 31999
)

var nextPort = firstPort + os.Getpid()%(lastPort-firstPort)

// freeAddress finds a loopback port that nothing listens on now.
func freeAddress() string {
	for {
		nextPort++
		if nextPort > lastPort {
			nextPort = firstPort
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort))
		if err != nil {
			continue
		}
		l.Close()
		return l.Addr().String()
	}
}

// member is one entry or agent with its endpoint, each its own process.
type member struct {
	*proc
	membership.Instance
	operator string
	caller   string // of an entry
	endpointURL string // base URL of the endpoint beside an agent
	endpointProcess  *proc  // the endpoint's process
	args     []string
	failureMu  sync.Mutex // held during a failure of the member
}

// restart starts the member anew, with the same addresses.
func (m *member) restart() {
	m.proc = start(m.ID, binaries.daemon, m.args...)
	m.awaitReady()
}

func (m *member) awaitReady() {
	Eventually(func() (int, error) { return status("http://" + m.operator + "/readyz") }).
		WithTimeout(conditionTimeout).WithPolling(20*time.Millisecond).Should(Equal(http.StatusOK), m.ID)
}

func status(url string) (int, error) {
	resp, err := http.Get(url)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, nil
}

// cluster is a deployment: the platform's stand-ins and the members.
type cluster struct {
	logURL, listURL string // base URLs
	members   []*member
}

func newCluster() *cluster {
	c := &cluster{}
	c.logURL = "http://" + start("log", binaries.tool, "emulate", "log").awaitAddress()
	c.listURL = "http://" + start("instances", binaries.tool, "emulate", "instances").awaitAddress()
	return c
}

// appendTable appends the first rows of the table.
func (c *cluster) appendTable(rows ...table.Row) {
	edit := table.Edit{ID: "seed", Editor: "test"}
	for _, row := range rows {
		edit.Rows = append(edit.Rows, table.RowEdit{Row: row, Name: rowName(row)})
	}
	data, err := table.EncodeEdit(edit)
	Expect(err).NotTo(HaveOccurred())
	_, err = logservice.New(c.logURL, logservice.Options{}).Append(context.Background(), "table", data)
	Expect(err).NotTo(HaveOccurred())
}

func rowName(row table.Row) string {
	switch row.Kind {
	case table.KindTier:
		return row.Tier.Name
	case table.KindAccount:
		return row.Account.Name
	default:
		return row.Endpoint.Name
	}
}

// entry starts an entry and lists it.
func (c *cluster) entry(id, domain string) *member {
	m := &member{Instance: membership.Instance{ID: id, Role: membership.RoleEntry, Address: freeAddress(), FailureDomain: domain}}
	m.operator, m.caller = freeAddress(), freeAddress()
	m.args = append([]string{"entry", "--set", "addresses.caller=" + m.caller}, c.commonArgs(m)...)
	c.add(m)
	return m
}

// agent starts an endpoint with an agent beside it and lists the agent.
func (c *cluster) agent(id, domain, pool, kind string, emulate ...string) *member {
	backing := start(id+"-endpoint", binaries.tool, append([]string{"emulate"}, emulate...)...)
	m := &member{Instance: membership.Instance{ID: id, Role: membership.RoleAgent, Pool: pool, Address: freeAddress(), FailureDomain: domain}}
	m.endpointProcess = backing
	m.endpointURL = "http://" + backing.awaitAddress()
	m.operator = freeAddress()
	m.args = append([]string{
		"agent", "--set", "agent.pool=" + pool, "--set", "agent.kind=" + kind,
		"--set", "agent.endpoint_url=" + m.endpointURL,
	}, c.commonArgs(m)...)
	c.add(m)
	return m
}

func (c *cluster) commonArgs(m *member) []string {
	return []string{
		"--set", "id=" + m.ID, "--set", "failure_domain=" + m.FailureDomain,
		"--set", "platform.log_service=" + c.logURL, "--set", "platform.instance_list=" + c.listURL,
		"--set", "platform.list_poll=100ms",
		"--set", "addresses.internal=" + m.Address, "--set", "addresses.operator=" + m.operator,
	}
}

func (c *cluster) add(m *member) {
	m.proc = start(m.ID, binaries.daemon, m.args...)
	c.members = append(c.members, m)
	c.setState(m, membership.StateLive)
}

// setState changes a member's row in the shared instance list.
func (c *cluster) setState(m *member, state membership.State) {
	m.State = state
	c.setStateAt(c.listURL, m.Instance, state)
}

// setStateAt changes an instance's row in one list.
func (c *cluster) setStateAt(list string, i membership.Instance, state membership.State) {
	i.State = state
	body, err := json.Marshal(map[string]any{"instances": []membership.Instance{i}})
	Expect(err).NotTo(HaveOccurred())
	post(list+"/v1/instances", body)
}

// killAll kills every process of the cluster before the spec ends.
func (c *cluster) killAll() {
	for _, m := range c.members {
		m.kill()
		if m.endpointProcess != nil {
			m.endpointProcess.kill()
		}
	}
}

// awaitReady waits until every member says that it is ready.
func (c *cluster) awaitReady() {
	for _, m := range c.members {
		m.awaitReady()
	}
}

func post(url string, body []byte) {
	resp, err := http.Post(url, "application/json", bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	Expect(resp.StatusCode).To(BeNumerically("<", 300), string(text))
}

// setFaults sets faults at a stand-in's control path.
func setFaults(base string, faults map[string]any) {
	body, err := json.Marshal(faults)
	Expect(err).NotTo(HaveOccurred())
	post(base+"/control", body)
}

// records reads what a stand-in executed.
func records[T any](base string) []T {
	resp, err := http.Get(base + "/control/records")
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var all []T
	Expect(json.NewDecoder(resp.Body).Decode(&all)).To(Succeed())
	return all
}
