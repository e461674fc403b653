package agent_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	fake "primrosespoke.dev/daemon/fake/engine"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

// A granted batch request is dispatched while a more urgent reservation waits, so that
// the start of the run and its suspension are effects of one event.
func TestRunSuspendedByItsStartEventCompletes(t *testing.T) {
	b := start(t, fake.Options{StepBase: 2 * time.Millisecond}, 1)
	probe := func() *nodepb.AgentStatus {
		reply, err := b.client.Agent(b.address).Reserve(context.Background(), &nodepb.ReserveRequest{
			EntryIncarnation: "e1", ReservationId: fmt.Sprint("probe/", b.number.Add(1)), RequestId: "probe",
			Attempt: 1, Tier: "batch", Pool: "model", WaitMs: 5,
		})
		if err != nil {
			return nil
		}
		if reply.Verdict == nodepb.ReserveReply_GRANTED {
			b.client.Agent(b.address).Resolve(context.Background(), &nodepb.ResolveRequest{
				RequestId: "probe", Attempt: 1, GrantId: reply.GrantId, Incarnation: reply.Status.Incarnation,
			})
		}
		return reply.Status
	}
	b.Eventually(func() uint32 { return probe().GetPlaces() }, "5s").Should(BeEquivalentTo(1))
	granted, err := b.reserve(context.Background(), "low", "batch")
	b.Expect(err).NotTo(HaveOccurred())
	urgent := make(chan error, 1)
	go func() { urgent <- b.requestWhole("high", "notary", 5) }()
	b.Eventually(func() uint32 { return probe().GetWaiting() }, "1900ms").Should(BeEquivalentTo(1))
	frames, err := b.client.Dispatch(context.Background(), b.address, b.header("low", "batch", granted), bytes.NewReader(chatBody("low", 40, true)))
	b.Expect(err).NotTo(HaveOccurred())
	body, _, err := readFrames("low", 0, frames)
	b.Expect(err).NotTo(HaveOccurred())
	got, done := streamText(body)
	b.Expect(got).To(Equal(wantText("low", 40)))
	b.Expect(done).To(BeTrue())
	b.Expect(<-urgent).To(Succeed())
}
