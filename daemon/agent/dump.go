package agent

import (
	"context"
	"sort"

	"primrosespoke.dev/coord/endpoint"
	"primrosespoke.dev/daemon/peer/engine"
)

// RunState describes one run in a State.
type RunState struct {
	// RequestID is the ID of the request.
	RequestID string `json:"request_id"`
	// Attempt is the number of the attempt, from 1.
	Attempt uint32 `json:"attempt"`
	// Account is the client account of the request.
	Account string `json:"account"`
	// Tier is the tier of the request.
	Tier string `json:"tier"`
	// Entry is the address of the entry that dispatched the run.
	Entry string `json:"entry"`
	// Readers counts the open readers of the answer.
	Readers int `json:"readers"`
	// Buffered is the number of buffered bytes of the answer.
	Buffered int64 `json:"buffered_bytes"`
}

// State is the state dump of an agent.
type State struct {
	// ID is the instance's ID.
	ID string `json:"id"`
	// Pool is the name of the endpoint's row in the table.
	Pool string `json:"pool"`
	// TableVersion is the version of the table in force; 0 if none is known.
	TableVersion int64 `json:"table_version"`
	// Endpoint is the summary of the endpoint.Machine.
	Endpoint endpoint.Status `json:"endpoint"`
	// TokenIntervalMs is the learned time between tokens at the present number of runs.
	TokenIntervalMs float64 `json:"token_interval_ms"`
	// PrefillPerSecond is the learned speed of prefill in tokens per second.
	PrefillPerSecond float64 `json:"prefill_per_second"`
	// Load is the engine's newest load report; it lags behind the engine.
	Load engine.Load `json:"load"`
	// CacheBlocks counts the blocks in the engine's prefix cache according to its events.
	CacheBlocks int `json:"cache_blocks"`
	// CacheMissed counts the cache events that were lost.
	CacheMissed int64 `json:"cache_missed"`
	// Runs are the runs whose answer is held, ended ones included, ordered by request ID.
	Runs []RunState `json:"runs"`
}

// Dump returns the agent's State without interrupting requests; nil once the agent has stopped.
func (a *Agent) Dump() any {
	state, err := ask(context.Background(), a.control, func(reply chan State) message {
		return dumpMessage{reply: reply}
	})
	if err != nil {
		return nil
	}
	return state
}

// dumpMessage asks for the agent's State.
type dumpMessage struct{ reply chan State }

func (m dumpMessage) apply(c *control) {
	state := State{ID: c.cfg.ID, Pool: c.cfg.Pool, Endpoint: c.machine.Status()}
	state.TokenIntervalMs = c.speed.TokenInterval(state.Endpoint.Running).Seconds() * 1000
	state.PrefillPerSecond = c.speed.PrefillPerSecond()
	state.Load = c.load
	state.CacheBlocks = len(c.cache.blocks)
	state.CacheMissed = c.cache.missed
	if t := c.cfg.Table(); t != nil {
		state.TableVersion = t.Version
	}
	for _, r := range c.runs {
		state.Runs = append(state.Runs, RunState{
			RequestID: r.key.RequestID, Attempt: r.key.Attempt, Account: r.header.Account,
			Tier: r.header.Tier, Entry: r.header.Entry, Readers: r.readers, Buffered: r.answer.size(),
		})
	}
	sort.Slice(state.Runs, func(i, j int) bool { return state.Runs[i].RequestID < state.Runs[j].RequestID })
	m.reply <- state
}
