package entry

import (
	"context"
	"fmt"
	"sync"

	"primrosespoke.dev/coord/membership"
	"primrosespoke.dev/coord/request"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

var registerVerdicts = map[nodepb.RegisterReply_Verdict]request.RegisterVerdict{
	nodepb.RegisterReply_GRANTED: request.RegisterGranted,
	nodepb.RegisterReply_HELD:    request.RegisterHeld,
	nodepb.RegisterReply_UNSURE:  request.RegisterUnsure,
}

// register asks the registrar of a request ID for the right to start.
func (e *Entry) register(k *call, effect request.Register) {
	ctx, cancel := context.WithTimeout(e.base, rpcTimeout)
	defer cancel()
	event := request.RegisterReplied{Query: effect.Query}
	registrar, ok := e.registrar(k)
	if ok {
		reply, err := e.client.Agent(registrar).Register(ctx, &nodepb.RegisterRequest{
			RequestId:  k.request.ID,
			Account:    k.account.Name,
			Entry:      e.InternalAddress(),
			Submission: e.submission(k),
			Attempt:    effect.Attempt,
			Agent:      effect.Agent,
			Located:    effect.Located,
		})
		if err == nil {
			event.Verdict = registerVerdicts[reply.Verdict]
			event.Agent = reply.Agent
			event.Attempt = reply.Attempt
		}
	}
	e.post(happened{key: k.key, event: event})
}

// submission names one call at this incarnation of the entry.
func (e *Entry) submission(k *call) string {
	return fmt.Sprintf("%s-%d", e.incarnation, k.key)
}

// registrar is the agent that rendezvous hashing selects for the ID within the pool.
func (e *Entry) registrar(k *call) (string, bool) {
	agents := e.config.Members().Agents(k.endpoint.Name)
	if len(agents) == 0 {
		return "", false
	}
	key := k.account.Name + "\x00" + k.request.ID
	return membership.Rendezvous(key, agents)[0].Address, true
}

// locate asks every agent of the pool whether it runs, or lately ran, the request ID.
func (e *Entry) locate(k *call, effect request.Locate) {
	ctx, cancel := context.WithTimeout(e.base, rpcTimeout)
	defer cancel()
	agents := e.config.Members().Agents(k.endpoint.Name)
	event := request.LocateReplied{Query: effect.Query, Complete: true}
	ask := &nodepb.LocateRequest{RequestId: k.request.ID, Account: k.account.Name, Submission: e.submission(k)}
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, agent := range agents {
		all.Add(1)
		go func() {
			defer all.Done()
			reply, err := e.client.Agent(agent.Address).Locate(ctx, ask)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				event.Complete = false
			case reply.Known:
				event.Agent = agent.Address
				event.Attempt = reply.Attempt
			}
		}()
	}
	all.Wait()
	e.post(happened{key: k.key, event: event})
}
