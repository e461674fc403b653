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

// register asks the registrar of a request ID for the right to start the request.
func (e *Entry) register(k *call, effect request.Register) {
	ctx, cancel := context.WithTimeout(e.baseContext, rpcTimeout)
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
	e.post(callEvent{key: k.key, event: event})
}

// submission returns an identifier of a call that is unique among all entries and their
// incarnations.
func (e *Entry) submission(k *call) string {
	return fmt.Sprintf("%s-%d", e.incarnation, k.key)
}

// registrar returns the address of the agent that rendezvous hashing selects for the
// request ID within the pool; false if the pool has no agents.
func (e *Entry) registrar(k *call) (string, bool) {
	agents := e.config.Members().Agents(k.endpoint.Name)
	if len(agents) == 0 {
		return "", false
	}
	key := k.account.Name + "\x00" + k.request.ID
	return membership.Rendezvous(key, agents)[0].Address, true
}

// locate asks every agent of the pool whether it runs, or recently ran, the request ID.
func (e *Entry) locate(k *call, effect request.Locate) {
	ctx, cancel := context.WithTimeout(e.baseContext, rpcTimeout)
	defer cancel()
	agents := e.config.Members().Agents(k.endpoint.Name)
	event := request.LocateReplied{Query: effect.Query, Complete: true}
	req := &nodepb.LocateRequest{RequestId: k.request.ID, Account: k.account.Name, Submission: e.submission(k)}
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, agent := range agents {
		all.Add(1)
		go func() {
			defer all.Done()
			reply, err := e.client.Agent(agent.Address).Locate(ctx, req)
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
	e.post(callEvent{key: k.key, event: event})
}
