// Package systemtest runs the real binaries as separate processes on the loopback
// interface and checks the responses that callers received against the executions
// that the emulated endpoints recorded.
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

// conditionTimeout bounds the wait for a condition that must come to hold. It checks no
// requirement on speed.
const conditionTimeout = 60 * time.Second

// binaries are the paths of primrosespoke and spokectl.
var binaries struct{ daemon, tool string }

// build compiles both binaries with the race detector into a temporary directory.
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
	out  *lockedBuffer // standard output and standard error
	done chan struct{} // closed when the process has exited
	err  error         // result of Wait, set before done is closed
}

// lockedBuffer is a buffer that a process writes while the test reads it.
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

// start runs a binary as a process that is killed at the end of the spec if it still
// runs. The spec fails if the output shows a data race, a violated invariant or a panic.
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

// tail returns the last lines of a text.
func tail(text string, lines int) string {
	all := strings.Split(text, "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

func (p *proc) signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// signalInSeries sends the signals that must not end a process which drains.
func (p *proc) signalInSeries() {
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGPIPE, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT} {
		p.signal(s)
		time.Sleep(10 * time.Millisecond)
	}
}

// kill ends the process at once, also when it is frozen, and waits for its exit.
func (p *proc) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// freeze suspends the process until thaw is called.
func (p *proc) freeze() { p.signal(syscall.SIGSTOP) }

func (p *proc) thaw() { p.signal(syscall.SIGCONT) }

// awaitAddress waits until an emulator has printed the address that it listens on.
func (p *proc) awaitAddress() string {
	var address string
	Eventually(func(g Gomega) {
		_, rest, found := strings.Cut(p.out.String(), "listening on ")
		g.Expect(found).To(BeTrue(), p.out.String())
		line, err := bufio.NewReader(strings.NewReader(rest)).ReadString('\n')
		g.Expect(err).NotTo(HaveOccurred())
		address = strings.TrimSpace(line)
	}).WithTimeout(conditionTimeout).WithPolling(10 * time.Millisecond).Should(Succeed())
	return address
}

// Members listen on ports below the range from which operating systems choose the
// ports of outgoing connections, so that a restarting member finds its port free.
const (
	firstPort = 20000
	lastPort  = 31999
)

// nextPort is the port tried last. Its first value depends on the process ID, so that
// concurrent test processes start at different ports.
var nextPort = firstPort + os.Getpid()%(lastPort-firstPort)

// freeAddress returns a loopback address on which nothing listens now.
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

// member is an entry, or an agent with its endpoint; the endpoint is a process of its own.
type member struct {
	*proc
	membership.Instance
	operator        string // address for operators
	caller          string // address for callers, of an entry only
	endpointURL     string // base URL of an agent's endpoint
	endpointProcess *proc  // process of that endpoint
	args            []string
	failureMu       sync.Mutex // held while a failure is injected into the member
}

// restart starts the process of the member again, with the same addresses, and waits
// until it is ready. The previous process must have exited.
func (m *member) restart() {
	m.proc = start(m.ID, binaries.daemon, m.args...)
	m.awaitReady()
}

// awaitReady waits until the readiness check of the member succeeds.
func (m *member) awaitReady() {
	Eventually(func() (int, error) { return status("http://" + m.operator + "/readyz") }).
		WithTimeout(conditionTimeout).WithPolling(20*time.Millisecond).Should(Equal(http.StatusOK), m.ID)
}

// status returns the status code of a GET request.
func status(url string) (int, error) {
	resp, err := http.Get(url)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, nil
}

// cluster is an emulated log service and instance list, and the members that use them.
type cluster struct {
	logURL, listURL string // base URLs of the log service and the instance list
	members         []*member
}

// newCluster starts the emulators of a cluster without members.
func newCluster() *cluster {
	c := &cluster{}
	c.logURL = "http://" + start("log", binaries.tool, "emulate", "log").awaitAddress()
	c.listURL = "http://" + start("instances", binaries.tool, "emulate", "instances").awaitAddress()
	return c
}

// appendTable appends an edit with the first rows of the table to the log.
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

// rowName returns the name of the tier, account or endpoint that a row configures.
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

// entry starts an entry and adds it to the instance list.
func (c *cluster) entry(id, domain string) *member {
	m := &member{Instance: membership.Instance{ID: id, Role: membership.RoleEntry, Address: freeAddress(), FailureDomain: domain}}
	m.operator, m.caller = freeAddress(), freeAddress()
	m.args = append([]string{"entry", "--set", "addresses.caller=" + m.caller}, c.commonArgs(m)...)
	c.add(m)
	return m
}

// agent starts an emulated endpoint and its agent, and adds the agent to the instance
// list. The arguments emulate say what "spokectl emulate" runs as the endpoint.
func (c *cluster) agent(id, domain, pool, kind string, emulate ...string) *member {
	endpointProcess := start(id+"-endpoint", binaries.tool, append([]string{"emulate"}, emulate...)...)
	m := &member{Instance: membership.Instance{ID: id, Role: membership.RoleAgent, Pool: pool, Address: freeAddress(), FailureDomain: domain}}
	m.endpointProcess = endpointProcess
	m.endpointURL = "http://" + endpointProcess.awaitAddress()
	m.operator = freeAddress()
	m.args = append([]string{
		"agent", "--set", "agent.pool=" + pool, "--set", "agent.kind=" + kind,
		"--set", "agent.endpoint_url=" + m.endpointURL,
	}, c.commonArgs(m)...)
	c.add(m)
	return m
}

// commonArgs returns the arguments that entries and agents share.
func (c *cluster) commonArgs(m *member) []string {
	return []string{
		"--set", "id=" + m.ID, "--set", "failure_domain=" + m.FailureDomain,
		"--set", "platform.log_service=" + c.logURL, "--set", "platform.instance_list=" + c.listURL,
		"--set", "platform.list_poll=100ms",
		"--set", "addresses.internal=" + m.Address, "--set", "addresses.operator=" + m.operator,
	}
}

// add starts the process of a member and lists it as live.
func (c *cluster) add(m *member) {
	m.proc = start(m.ID, binaries.daemon, m.args...)
	c.members = append(c.members, m)
	c.setState(m, membership.StateLive)
}

// setState sets the state of a member in the cluster's instance list.
func (c *cluster) setState(m *member, state membership.State) {
	m.State = state
	c.setStateAt(c.listURL, m.Instance, state)
}

// setStateAt sets the state of an instance in the instance list at a base URL.
func (c *cluster) setStateAt(list string, i membership.Instance, state membership.State) {
	i.State = state
	body, err := json.Marshal(map[string]any{"instances": []membership.Instance{i}})
	Expect(err).NotTo(HaveOccurred())
	post(list+"/v1/instances", body)
}

// killAll kills the members and their endpoints, so that they use no resources during
// the rest of the spec.
func (c *cluster) killAll() {
	for _, m := range c.members {
		m.kill()
		if m.endpointProcess != nil {
			m.endpointProcess.kill()
		}
	}
}

// awaitReady waits until every member is ready.
func (c *cluster) awaitReady() {
	for _, m := range c.members {
		m.awaitReady()
	}
}

// post sends a JSON body and expects success.
func post(url string, body []byte) {
	resp, err := http.Post(url, "application/json", bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	Expect(resp.StatusCode).To(BeNumerically("<", 300), string(text))
}

// setFaults sets the faults of an emulator through its control path.
func setFaults(base string, faults map[string]any) {
	body, err := json.Marshal(faults)
	Expect(err).NotTo(HaveOccurred())
	post(base+"/control", body)
}

// records returns what an emulator recorded of its executions.
func records[T any](base string) []T {
	resp, err := http.Get(base + "/control/records")
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var all []T
	Expect(json.NewDecoder(resp.Body).Decode(&all)).To(Succeed())
	return all
}
