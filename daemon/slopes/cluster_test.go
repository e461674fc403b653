package slopes

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"primrosespoke.dev/coord/membership"
	"primrosespoke.dev/coord/table"
	"primrosespoke.dev/daemon/fake/engine"
	"primrosespoke.dev/daemon/fake/instancelist"
	"primrosespoke.dev/daemon/fake/logservice"
	"primrosespoke.dev/daemon/fake/service"
	client "primrosespoke.dev/daemon/peer/logservice"
)

const keyPrefix = "secret"

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "slopes")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "primrosespoke")
	if out, err := exec.Command("go", "build", "-o", binary, "primrosespoke.dev/daemon/cmd/primrosespoke").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// process is a started entry or agent.
type process struct {
	membership.Instance
	pid                            int
	operatorAddress, callerAddress string
}

// cluster is a set of real entries and agents on an emulated platform.
type cluster struct {
	bench        *testing.B
	logServer    *logservice.Server
	instanceList *instancelist.List
	engine       *engine.Engine
	logURL       string
	listURL      string
	engineURL    string
	serviceURL   string
	pool         string   // endpoint of the agents: model or desk
	entryFlags   []string // further flags for the entries
	entries      []*process
	agents       []*process
}

func newCluster(b *testing.B, entries, agents, accounts int, opts engine.Options) *cluster {
	return newPoolCluster(b, "model", entries, agents, accounts, opts)
}

func newPoolCluster(b *testing.B, pool string, entries, agents, accounts int, opts engine.Options, entryFlags ...string) *cluster {
	c := &cluster{bench: b, pool: pool, entryFlags: entryFlags, logServer: logservice.New(logservice.Config{}), instanceList: instancelist.New(instancelist.Options{}), engine: engine.New(opts)}
	for url, handler := range map[*string]http.Handler{&c.logURL: c.logServer, &c.listURL: c.instanceList, &c.engineURL: c.engine, &c.serviceURL: service.New()} {
		server := httptest.NewServer(handler)
		b.Cleanup(server.Close)
		*url = server.URL
	}
	c.writeTable(accounts)
	for i := range agents {
		c.agents = append(c.agents, c.startProcess(membership.RoleAgent, i))
	}
	for i := range entries {
		c.entries = append(c.entries, c.startProcess(membership.RoleEntry, i))
	}
	for _, p := range append(c.entries, c.agents...) {
		c.awaitReady("http://" + p.operatorAddress + "/readyz")
	}
	return c
}

func (c *cluster) writeTable(accounts int) {
	edit := table.Edit{ID: "seed", Editor: "slopes"}
	add := func(name string, row table.Row) { edit.Rows = append(edit.Rows, table.RowEdit{Row: row, Name: name}) }
	tier := table.Tier{Name: "standard"}
	add("standard", table.Row{Kind: table.KindTier, Tier: &tier})
	add("model", table.Row{Kind: table.KindEndpoint, Endpoint: &table.Endpoint{Name: "model", Kind: table.EndpointEngine, Weight: 1, Concurrency: 4096}})
	add("desk", table.Row{Kind: table.KindEndpoint, Endpoint: &table.Endpoint{
		Name: "desk", Kind: table.EndpointService, Weight: 1, Concurrency: 64, NonIdempotent: []string{"POST"},
	}})
	for i := range accounts {
		name := fmt.Sprint("account-", i)
		sum := sha256.Sum256([]byte(fmt.Sprint(keyPrefix, i)))
		add(name, table.Row{Kind: table.KindAccount, Account: &table.Account{
			Name: name, KeyDigest: hex.EncodeToString(sum[:]), Tiers: []string{"standard"}, Weight: 1,
		}})
	}
	c.append(edit)
}

func (c *cluster) append(edit table.Edit) int64 {
	data, err := table.EncodeEdit(edit)
	if err != nil {
		c.bench.Fatal(err)
	}
	offset, err := client.New(c.logURL, client.Options{}).Append(context.Background(), "table", data)
	if err != nil {
		c.bench.Fatal(err)
	}
	return offset
}

func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func (c *cluster) startProcess(role membership.Role, i int) *process {
	domains := []string{"santander-a", "oviedo-b", "bilbao-c"}
	p := &process{operatorAddress: freeAddress()}
	p.Instance = membership.Instance{
		ID: fmt.Sprint(role, "-", i), Role: role, Address: freeAddress(), FailureDomain: domains[i%3], State: membership.StateLive,
	}
	args := []string{
		string(role), "--set", "id=" + p.ID, "--set", "failure_domain=" + p.FailureDomain, "--set", "log_level=warn",
		"--set", "platform.log_service=" + c.logURL, "--set", "platform.instance_list=" + c.listURL,
		"--set", "addresses.internal=" + p.Address, "--set", "addresses.operator=" + p.operatorAddress,
	}
	if role == membership.RoleAgent {
		p.Pool = c.pool
		kind, endpoint := "engine", c.engineURL
		if c.pool == "desk" {
			kind, endpoint = "service", c.serviceURL
		}
		args = append(args, "--set", "agent.pool="+c.pool, "--set", "agent.kind="+kind, "--set", "agent.endpoint_url="+endpoint)
	} else {
		p.callerAddress = freeAddress()
		args = append(append(args, "--set", "addresses.caller="+p.callerAddress), c.entryFlags...)
	}
	cmd := exec.Command(binary, args...)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		c.bench.Fatal(err)
	}
	c.bench.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	p.pid = cmd.Process.Pid
	c.instanceList.Set(p.Instance)
	return p
}

func (c *cluster) awaitReady(url string) {
	for range 1200 {
		if resp, err := http.Get(url); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(25 * time.Millisecond)
	}
	c.bench.Fatal(url, "is not ready")
}

func socketTraffic(b *testing.B) map[int]Traffic {
	out, err := exec.Command("ss", "-tinpH").Output()
	if err != nil {
		b.Fatal(err)
	}
	return ParseSocketTraffic(out)
}

func (c *cluster) generatedTokens() int {
	n := 0
	for _, r := range c.engine.Records() {
		n += r.Tokens
	}
	return n
}

// sample holds the usage and traffic of all processes at one time, by process ID.
type sample struct {
	at      time.Time
	usage   map[int]Usage
	traffic map[int]Traffic
	// tokens counts the tokens generated so far.
	tokens int
}

func (c *cluster) sample() sample {
	s := sample{at: time.Now(), usage: map[int]Usage{}, traffic: socketTraffic(c.bench), tokens: c.generatedTokens()}
	for _, p := range append(c.entries, c.agents...) {
		u, err := ReadUsage(p.pid)
		if err != nil {
			c.bench.Fatal(err)
		}
		s.usage[p.pid] = u
	}
	return s
}

// report records the mean usage and traffic per process of a role between two samples.
func (c *cluster) report(role string, processes []*process, from, to sample) {
	seconds := to.at.Sub(from.at).Seconds()
	var cpu, resident, bytes, segments float64
	for _, p := range processes {
		cpu += (to.usage[p.pid].CPU - from.usage[p.pid].CPU).Seconds()
		resident += float64(to.usage[p.pid].ResidentBytes)
		bytes += float64(to.traffic[p.pid].Bytes - from.traffic[p.pid].Bytes)
		segments += float64(to.traffic[p.pid].Segments - from.traffic[p.pid].Segments)
	}
	n := float64(len(processes))
	c.bench.ReportMetric(100*cpu/n/seconds, role+"-core%")
	c.bench.ReportMetric(resident/n/1e6, role+"-MB")
	c.bench.ReportMetric(bytes/n/seconds, role+"-B/s")
	c.bench.ReportMetric(segments/n/seconds, role+"-msg/s")
}
