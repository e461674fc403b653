package agent_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	fake "primrosespoke.dev/daemon/fake/engine"
	"primrosespoke.dev/daemon/peer/node"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

// Guards against a request that gets 502 since another account's run took the ID that both callers
// chose while the agent asked its endpoint for a run of an earlier incarnation.
func TestRunOfAnotherAccountThatBeginsDuringALookupIsNotTakenForThisOne(t *testing.T) {
	b := start(t, fake.Options{}, 8)
	asked, begun := make(chan struct{}), make(chan struct{})
	var lookups atomic.Int32
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet && strings.HasSuffix(r.URL.Path, "/same") && lookups.Add(1) == 1 {
			close(asked)
			<-begun
		}
		b.engine.ServeHTTP(w, r)
	}))
	t.Cleanup(front.Close)
	b.serve(t, front.URL, 8)
	located := make(chan *nodepb.LocateReply, 1)
	go func() {
		reply, err := b.client.Agent(b.address).Locate(context.Background(), &nodepb.LocateRequest{
			RequestId: node.QualifyID("second", "same"), Account: "second", Submission: "e1-2",
		})
		if err == nil {
			located <- reply
		}
	}()
	b.Eventually(asked).Should(BeClosed())
	frames, _, err := b.dispatchStream(context.Background(), node.QualifyID("first", "same"), "batch", 400)
	b.Expect(err).NotTo(HaveOccurred())
	defer frames.Close()
	_, err = frames.Next() // so the endpoint knows the run
	b.Expect(err).NotTo(HaveOccurred())
	close(begun)
	var reply *nodepb.LocateReply
	b.Eventually(located).Should(Receive(&reply))
	b.Expect(reply.Known).To(BeFalse())
}
