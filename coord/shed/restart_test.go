package shed_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/coord/shed"
)

// TestAgentAndEntryBothRestarted kills and restarts the agent that ran a backlog
// request and the entry that held its caller. The engine still runs it, and
// neither incarnation knows: a more urgent tier must not be shed meanwhile.
func TestAgentAndEntryBothRestarted(t *testing.T) {
	g := NewWithT(t)
	const fresh = 15 * time.Minute // longer than any request
	restarted := shed.WitnessConfig{MaxLease: lease, Hold: lease, RestartWindow: fresh}
	agent, entry := shed.NewWitness(restarted, 0), shed.NewWitness(restarted, 0)
	now, ranks := 2*lease, shed.Ranks{"notary": 0, "backlog": 1}
	s := shed.LocalState{Version: 1, Ranks: ranks, Agents: []string{"a1"}, Entries: []string{"e1"}}
	r := shed.NewRequester(shed.Config{})
	r.MayShed(now, poolName, "notary", 1, ranks)
	asks := r.Tick(now, 1, func(string) shed.Members {
		return shed.Members{Agents: []string{"a1"}, Entries: []string{"e1"}}
	})
	asks = r.Replied(now, poolName, asks[0], agent.AnswerAsAgent(now, asks[0].Question, s))
	for _, ask := range asks {
		r.Replied(now, poolName, ask, entry.AnswerAsEntry(now, ask.Question, s))
	}
	g.Expect(r.MayShed(now, poolName, "notary", 1, ranks)).To(BeFalse(), "the engine still runs the backlog request")
}
