package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"primrosespoke.dev/coord/membership"
	fake "primrosespoke.dev/daemon/fake/logservice"
	"primrosespoke.dev/daemon/peer/logservice"
	"primrosespoke.dev/daemon/peer/operator"
	"primrosespoke.dev/daemon/tablesync"
)

// console is an operators' listener with a real Syncer and a fake log service.
type console struct {
	g    *WithT
	url  string
	log  *fake.Server
	dump map[string]any
}

func newConsole(t *testing.T) *console {
	g := NewWithT(t)
	log := fake.New(fake.Config{})
	platform := httptest.NewServer(log)
	syncer, err := tablesync.New(tablesync.Config{
		Log:     logservice.New(platform.URL, logservice.Options{}),
		Members: func() membership.View { return membership.View{} },
		Timing:  tablesync.Timing{LogWait: 100 * time.Millisecond, RetryMax: 50 * time.Millisecond},
		Logger:  zerolog.Nop(),
	})
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { syncer.Run(ctx); close(done) }()
	g.Eventually(syncer.Ready, 10*time.Second).Should(BeTrue())
	c := &console{g: g, log: log, dump: map[string]any{}}
	server := httptest.NewServer(operator.New(operator.Config{
		Table: syncer, Live: func() bool { return true }, Ready: func() bool { return false },
		Dump:  func() any { return c.dump },
		Drain: func(_ context.Context, on bool) error { c.dump["draining"] = on; return nil },
	}))
	c.url = server.URL
	t.Cleanup(func() { server.Close(); cancel(); <-done; platform.Close() })
	return c
}

func (c *console) send(method, path, kind, body string) (int, string) {
	req, err := http.NewRequest(method, c.url+path, strings.NewReader(body))
	c.g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Content-Type", kind)
	answer, err := http.DefaultClient.Do(req)
	c.g.Expect(err).NotTo(HaveOccurred())
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	c.g.Expect(err).NotTo(HaveOccurred())
	return answer.StatusCode, string(data)
}

func (c *console) decodeProblem(body string) operator.Problem {
	var p operator.Problem
	c.g.Expect(json.NewDecoder(bytes.NewBufferString(body)).Decode(&p)).To(Succeed(), body)
	return p
}

// Two operators export the table and edit their copies: the second edit of the same row
// must be refused as a conflict, and an edit of another row must be accepted.
func TestEditOfRowChangedSinceExportIsAConflict(t *testing.T) {
	c := newConsole(t)
	g := c.g
	header := "kind,name,rank,queue_limit\n"
	status, body := c.send("POST", operator.PathEdits+"?editor=ana&id=e1", "text/csv", header+"tier,urgent,0,5\ntier,bulk,1,\n")
	g.Expect(status).To(Equal(http.StatusOK), body)
	status, again := c.send("POST", operator.PathEdits+"?editor=ana&id=e1&seen=0", "text/csv", header+"tier,urgent,0,5\ntier,bulk,1,\ntier,x,9,\n")
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(again).To(Equal(body), "a repeated edit ID gets the first verdict")

	_, mine := c.send("GET", operator.PathTable+"?format=csv", "", "")
	_, theirs := c.send("GET", operator.PathTable+"?format=csv", "", "")
	edited := strings.Replace(mine, ",0,5,", ",0,6,", 1)
	status, body = c.send("POST", operator.PathPreview, "text/csv", edited)
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(body).To(ContainSubstring(`"field":"queue_limit","before":"5","after":"6"`))
	status, _ = c.send("POST", operator.PathEdits, "text/csv", edited)
	g.Expect(status).To(Equal(http.StatusOK))

	// The other operator first edits another row and then the row that has changed.
	status, _ = c.send("POST", operator.PathEdits, "text/csv", strings.Replace(theirs, ",1,0,", ",2,0,", 1))
	g.Expect(status).To(Equal(http.StatusOK))
	status, body = c.send("POST", operator.PathEdits, "text/csv", strings.Replace(theirs, ",0,5,", ",0,7,", 1))
	g.Expect(status).To(Equal(http.StatusConflict))
	p := c.decodeProblem(body)
	g.Expect(p.Conflicts).To(HaveLen(1))
	g.Expect(p.Conflicts[0].Name).To(Equal("urgent"))
	g.Expect(p.Conflicts[0].Current.Tier.QueueLimit).To(Equal(6))

	_, body = c.send("GET", operator.PathHistory, "", "")
	var history operator.HistoryBody
	g.Expect(json.Unmarshal([]byte(body), &history)).To(Succeed())
	g.Expect(history.Edits).To(HaveLen(4))
	g.Expect(history.Edits[3].Editor).To(Equal("ana"))
}

func TestInvalidEditsAreRefusedAndPreviewAndDrainWorkDuringLogOutage(t *testing.T) {
	c := newConsole(t)
	g := c.g
	status, body := c.send("POST", operator.PathEdits, "text/csv", "kind,name,rank,weight,tiers\ntier,a,x,,\naccount,b,,-1,gold\n")
	g.Expect(status).To(Equal(http.StatusUnprocessableEntity))
	g.Expect(c.decodeProblem(body).Findings).To(HaveLen(1))
	status, body = c.send("POST", operator.PathEdits+"?file=plan.csv", "text/csv", "kind,name,rank,weight,tiers\ntier,a,-1,,\naccount,b,,-1,gold\n")
	g.Expect(status).To(Equal(http.StatusUnprocessableEntity))
	p := c.decodeProblem(body)
	g.Expect(p.Findings).To(HaveLen(4))
	for _, f := range p.Findings {
		g.Expect(f.File).To(Equal("plan.csv"))
		g.Expect(f.Line).To(BeNumerically(">", 1))
	}
	for _, broken := range []string{"", "{", `{"x":1}`} {
		status, _ = c.send("POST", operator.PathEdits, "application/json", broken)
		g.Expect(status).To(Equal(http.StatusBadRequest))
	}
	// Without the log service, previews, probes, drain and the dump still work.
	c.log.SetOutage(true)
	status, body = c.send("POST", operator.PathPreview, "text/csv", "kind,name,rank\ntier,a,1\n")
	g.Expect(status).To(Equal(http.StatusOK), body)
	status, _ = c.send("GET", operator.PathReady, "", "")
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	status, _ = c.send("POST", operator.PathDrain, "", "")
	g.Expect(status).To(Equal(http.StatusOK))
	_, body = c.send("GET", operator.PathDump, "", "")
	g.Expect(body).To(ContainSubstring(`"draining": true`))
}
