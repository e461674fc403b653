package shed_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/coord/shed"
)

// TestNoPermitAfterAgentAndEntryRestarted guards against a permit while the engine
// still runs a backlog request that no process knows of, because the agent that
// ran it and the entry that held its caller have both restarted.
func TestNoPermitAfterAgentAndEntryRestarted(t *testing.T) {
	g := NewWithT(t)
	const restartWindow = 15 * time.Minute // longer than any request
	restarted := shed.WitnessConfig{MaxLease: lease, Hold: lease, RestartWindow: restartWindow}
	agent, entry := shed.NewWitness(restarted, 0), shed.NewWitness(restarted, 0)
	now, ranks := 2*lease, shed.Ranks{"notary": 0, "backlog": 1}
	s := shed.LocalState{Version: 1, Ranks: ranks, Agents: []string{"a1"}, Entries: []string{"e1"}}
	r := shed.NewRequester(shed.Config{})
	r.MayShed(now, poolName, "notary", 1, ranks)
	queries := r.Tick(now, 1, func(string) shed.Members {
		return shed.Members{Agents: []string{"a1"}, Entries: []string{"e1"}}
	})
	queries = r.Replied(now, poolName, queries[0], agent.AnswerAsAgent(now, queries[0].Question, s))
	for _, query := range queries {
		r.Replied(now, poolName, query, entry.AnswerAsEntry(now, query.Question, s))
	}
	g.Expect(r.MayShed(now, poolName, "notary", 1, ranks)).To(BeFalse(), "the engine still runs the backlog request")
}
