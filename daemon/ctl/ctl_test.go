package ctl_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"primrosespoke.dev/coord/membership"
	"primrosespoke.dev/daemon/ctl"
	fake "primrosespoke.dev/daemon/fake/logservice"
	"primrosespoke.dev/daemon/peer/logservice"
	"primrosespoke.dev/daemon/peer/operator"
	"primrosespoke.dev/daemon/tablesync"
)

// runCommand parses and runs one command line and returns its output.
func runCommand(t *testing.T, args ...string) (string, error) {
	var out bytes.Buffer
	ctl.Output = &out
	var cli ctl.Commands
	parser, err := kong.New(&cli, kong.Exit(func(int) { t.Fatal("usage") }))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	parsed, err := parser.Parse(args)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	err = parsed.Run()
	return out.String(), err
}

// startProcess starts a log service and an operator listener that uses it, and returns the
// address of the listener and the log.
func startProcess(t *testing.T) (string, *fake.Server) {
	log := fake.New(fake.Config{})
	platform := httptest.NewServer(log)
	t.Cleanup(platform.Close)
	return startOperatorListener(t, platform.URL), log
}

// startOperatorListener starts an operator listener with the table of a log service, and
// returns its address.
func startOperatorListener(t *testing.T, logURL string) string {
	syncer, err := tablesync.New(tablesync.Config{
		Log:     logservice.New(logURL, logservice.Options{}),
		Members: func() membership.View { return membership.View{} },
		Timing:  tablesync.Timing{LogWait: 100 * time.Millisecond},
		Logger:  zerolog.Nop(),
	})
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { syncer.Run(ctx); close(done) }()
	server := httptest.NewServer(operator.New(operator.Config{
		Table: syncer, Dump: func() any { return "state" },
		Drain: func(context.Context, bool) error { return nil },
	}))
	t.Cleanup(func() { server.Close(); cancel(); <-done })
	return strings.TrimPrefix(server.URL, "http://")
}

func TestTableCommandsApplyEditsOnceAndRefuseConflicts(t *testing.T) {
	g := NewWithT(t)
	server, log := startProcess(t)
	table := func(args ...string) (string, error) {
		return runCommand(t, append([]string{"table", "--server", server}, args...)...)
	}
	g.Eventually(func() error { _, err := table("export"); return err }, 20*time.Second).Should(Succeed())
	out, err := table("edit", "tier", "urgent", "rank=0", "max_wait=30s", "--editor", "ana")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out).To(ContainSubstring(`tier urgent: max_wait: "0s" -> "30s"`))
	log.LoseAnswers(1)
	_, err = table("edit", "tier", "bulk", "rank=1")
	g.Expect(err).NotTo(HaveOccurred())

	file := filepath.Join(t.TempDir(), "plan.csv")
	_, err = table("export", "-o", file)
	g.Expect(err).NotTo(HaveOccurred())
	exported, err := os.ReadFile(file)
	g.Expect(err).NotTo(HaveOccurred())
	change := func(old, new string) {
		g.Expect(string(exported)).To(ContainSubstring(old))
		g.Expect(os.WriteFile(file, []byte(strings.Replace(string(exported), old, new, 1)), 0o600)).To(Succeed())
	}
	change(",1,0,0s,", ",0,0,0s,")
	_, err = table("apply", file, "--preview")
	g.Expect(err).To(MatchError(ContainSubstring("plan.csv:2:")))
	change(",1,0,0s,", ",4,0,0s,")
	out, err = table("apply", file, "--preview")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out).To(Equal("tier bulk: rank: \"1\" -> \"4\"\npreview: 1 changes, nothing applied\n"))
	_, err = table("edit", "tier", "bulk", "rank=7")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = table("apply", file)
	g.Expect(err).To(MatchError(And(ContainSubstring("tier bulk: read at version 2, now at 3"), ContainSubstring(`rank="7"`))))
	_, err = table("edit", "tier", "bulk", "--delete")
	g.Expect(err).NotTo(HaveOccurred())
	out, err = table("history")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(strings.Count(out, " accepted\n")).To(Equal(4))
	g.Expect(out).To(ContainSubstring("rejected: conflict"))
}

// Guards against a table that is lost for good: the log dropped all records while no
// process ran. A log that still holds the table, or holds it again, must be refused.
func TestRebuildRestoresTableOnlyInLogThatLostIt(t *testing.T) {
	g := NewWithT(t)
	log := fake.New(fake.Config{})
	platform := httptest.NewServer(log)
	t.Cleanup(platform.Close)
	file := filepath.Join(t.TempDir(), "plan.csv")
	g.Expect(os.WriteFile(file, []byte("kind,name,rank\ntier,urgent,0\ntier,bulk,1\n"), 0o600)).To(Succeed())
	rebuild := []string{"table", "rebuild", file, "--log", platform.URL, "--no-process-left"}
	_, err := runCommand(t, rebuild...)
	g.Expect(err).To(MatchError(ContainSubstring("nothing to rebuild")))
	for range 7 {
		_, err := logservice.New(platform.URL, logservice.Options{}).Append(context.Background(), "table", []byte("{}"))
		g.Expect(err).NotTo(HaveOccurred())
	}
	log.TrimTo("table", 7)
	server := startOperatorListener(t, platform.URL)
	_, err = runCommand(t, "table", "--server", server, "export")
	g.Expect(err).To(MatchError(ContainSubstring("no whole table")))
	g.Expect(runCommand(t, rebuild...)).To(Equal("2 rows written at table version 7\n"))
	g.Eventually(func() string {
		out, _ := runCommand(t, "table", "--server", server, "export")
		return out
	}, 20*time.Second).Should(ContainSubstring("tier,bulk,7."))
	_, err = runCommand(t, rebuild...)
	g.Expect(err).To(MatchError(ContainSubstring("nothing to rebuild")))
}

func TestProcessCommandsPrintStateDrainAndFindings(t *testing.T) {
	g := NewWithT(t)
	server, _ := startProcess(t)
	g.Expect(runCommand(t, "dump", server)).To(ContainSubstring("state"))
	g.Expect(runCommand(t, "drain", server, "--recall")).To(ContainSubstring("in service"))
	file := filepath.Join(t.TempDir(), "s.yaml")
	g.Expect(os.WriteFile(file, []byte("nonsense: 1\n"), 0o600)).To(Succeed())
	out, err := runCommand(t, "check", file)
	g.Expect(err).To(HaveOccurred())
	g.Expect(out).To(ContainSubstring("nonsense"))
}

func TestSendPrintsAnswerAndFailsWithoutDoneEvent(t *testing.T) {
	g := NewWithT(t)
	doneEvent := "data: [DONE]\n\n"
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.Expect(r.Header.Get("Authorization")).To(Equal("Bearer k"))
		g.Expect(r.Header.Get("X-Deadline-Ms")).To(Equal("3000"))
		for _, word := range []string{"two ", "words"} {
			_, _ = w.Write([]byte(`data: {"choices":[{"delta":{"content":"` + word + `"}}]}` + "\n\n"))
		}
		_, _ = w.Write([]byte(doneEvent))
	}))
	defer entry.Close()
	out, err := runCommand(t, "send", "-u", entry.URL, "-k", "k", "-d", "3s", "say")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out).To(Equal("two words\n"))
	doneEvent = ""
	_, err = runCommand(t, "send", "-u", entry.URL, "-k", "k", "-d", "3s", "say")
	g.Expect(err).To(MatchError(ContainSubstring("without a [DONE] event")))
}
