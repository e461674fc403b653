package node

import (
	"time"

	"primrosespoke.dev/coord/shed"
	"primrosespoke.dev/coord/table"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

// RanksOf returns the rank of each tier of a table, by the tier's name.
func RanksOf(t *table.Table) shed.Ranks {
	ranks := make(shed.Ranks, len(t.Tiers))
	for name, tier := range t.Tiers {
		ranks[name] = tier.Rank
	}
	return ranks
}

// EncodeWitnessRequest encodes a question to a witness. entry is the address of
// the asking entry.
func EncodeWitnessRequest(entry string, q shed.Question) *nodepb.WitnessRequest {
	return &nodepb.WitnessRequest{
		Entry: entry, Pool: q.Pool, Tier: q.Tier, TableVersion: q.Version, LeaseMs: q.Lease.Milliseconds(),
		Agents: q.Agents, Entries: q.Entries, Reached: q.Reached,
	}
}

// DecodeWitnessRequest decodes a question to a witness.
func DecodeWitnessRequest(r *nodepb.WitnessRequest) shed.Question {
	return shed.Question{
		Pool: r.Pool, Tier: r.Tier, Version: r.TableVersion, Lease: time.Duration(r.LeaseMs) * time.Millisecond,
		Agents: r.Agents, Entries: r.Entries, Reached: r.Reached,
	}
}

// EncodeWitnessReply encodes a witness's reply.
func EncodeWitnessReply(r shed.Reply) *nodepb.WitnessReply {
	return &nodepb.WitnessReply{
		Clear: r.Clear, LowerTier: r.LowerTier, UnknownAgents: r.UnknownAgents, UnknownEntries: r.UnknownEntries,
		TableVersion: r.Version, Incarnation: r.Incarnation, Fresh: r.RecentlyRestarted,
	}
}

// DecodeWitnessReply decodes a witness's reply.
func DecodeWitnessReply(r *nodepb.WitnessReply) shed.Reply {
	return shed.Reply{
		Clear: r.Clear, LowerTier: r.LowerTier, UnknownAgents: r.UnknownAgents, UnknownEntries: r.UnknownEntries,
		Version: r.TableVersion, Incarnation: r.Incarnation, RecentlyRestarted: r.Fresh,
	}
}
