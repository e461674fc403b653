package entry

import (
	"context"
	"net/http"
	"slices"
	"sort"
	"time"

	"primrosespoke.dev/coord/request"
	"primrosespoke.dev/coord/table"
	"primrosespoke.dev/daemon/peer/caller"
	"primrosespoke.dev/daemon/peer/node"
)

const (
	defaultExpectedTokens = 256 // of a request that states no limit of generated tokens
	sharedPrefixHashes    = 4   // agents are sent the prefix hash at this position, or the last one
)

// Admit implements caller.Handler. It checks what the request's header states before
// the body is read.
func (e *Entry) Admit(ctx context.Context, r *caller.Request) *caller.Problem {
	if !e.Ready() {
		return e.notRunProblem("draining", http.StatusServiceUnavailable, "this entry takes no new requests", e.config.RetryAfter)
	}
	t := e.config.Table()
	account, problem := e.account(t, r.KeyDigest)
	if problem != nil {
		return problem
	}
	if _, problem = e.tier(t, account, r.Tier); problem != nil {
		return problem
	}
	if r.Service {
		_, problem = e.endpoint(t, account, r)
	}
	return problem
}

// Handle implements caller.Handler. It returns when the answer has ended.
func (e *Entry) Handle(ctx context.Context, r *caller.Request, w *caller.Response) {
	e.callersInProgress.Add(1)
	defer e.callersInProgress.Add(-1)
	k, problem := e.newCall(r)
	if problem != nil {
		w.WriteProblem(problem)
		return
	}
	e.post(callArrived{call: k})
	out := &relay{entry: e, call: k, response: w, answer: request.NewAnswer(k.request.ID)}
	e.serve(ctx, out)
}

// newCall returns the call of a request. It looks up the account, tier and endpoint
// again, since the table may have changed after Admit and the body names the model.
func (e *Entry) newCall(r *caller.Request) (*call, *caller.Problem) {
	t := e.config.Table()
	account, problem := e.account(t, r.KeyDigest)
	if problem != nil {
		return nil, problem
	}
	tier, problem := e.tier(t, account, r.Tier)
	if problem != nil {
		return nil, problem
	}
	endpoint, problem := e.endpoint(t, account, r)
	if problem != nil {
		return nil, problem
	}
	now := e.now()
	deadline := r.Deadline
	if deadline == 0 {
		deadline = e.config.Deadline
	}
	deadline = min(deadline, e.config.MaxDeadline)
	own := *r
	if r.ChosenID {
		// Two accounts may choose the same ID; the account's name makes it unique
		// within the system.
		own.ID = node.QualifyID(account.Name, r.ID)
	}
	return &call{
		key:           e.lastCallKey.Add(1),
		request:       &own,
		account:       account,
		tier:          tier,
		endpoint:      endpoint,
		nonIdempotent: nonIdempotent(endpoint, r),
		arrived:       now,
		deadline:      now + deadline - answerMargin(deadline),
		reservations:  map[uint64]context.CancelFunc{},
		closeStream:   func() {},
		commands:      make(chan command, commandBuffer),
	}, nil
}

const (
	maxAnswerMargin     = 50 * time.Millisecond
	answerMarginDivisor = 50 // of the time until the caller's deadline
)

// answerMargin returns how long before the caller's deadline the entry ends a request,
// so that the refusal reaches a caller that disconnects at its deadline.
func answerMargin(deadline time.Duration) time.Duration {
	return min(deadline/answerMarginDivisor, maxAnswerMargin)
}

// serve executes the control goroutine's commands until the call has ended.
func (e *Entry) serve(ctx context.Context, out *relay) {
	gone := ctx.Done()
	for {
		select {
		case cmd := <-out.call.commands:
			if e.execute(ctx, out, cmd) {
				return
			}
		case <-gone:
			gone = nil
			e.post(callEvent{key: out.call.key, event: request.CallerGone{}})
		case <-e.baseContext.Done():
			out.abortForShutdown()
			return
		}
	}
}

// execute carries out one command and reports whether it was the final one.
func (e *Entry) execute(ctx context.Context, out *relay, cmd command) bool {
	switch cmd := cmd.(type) {
	case streamCommand:
		event, err := out.run(ctx, cmd)
		if err != nil {
			e.post(callEvent{key: out.call.key, event: request.CallerGone{}})
			return false
		}
		e.post(callEvent{key: out.call.key, event: event})
		return false
	case finalCommand:
		out.finish(cmd.effect)
	}
	return true
}

// finish ends an incomplete answer: with a refusal, or with an error if a part of it was
// sent. A complete one, whose effect is Finish, needs nothing more.
func (r *relay) finish(effect request.Effect) {
	switch effect := effect.(type) {
	case request.Refuse:
		problem := &caller.Problem{
			Kind:       refusalKind(effect.Status),
			Status:     effect.Status,
			Detail:     effect.Reason,
			Outcome:    string(effect.Outcome),
			RetryAfter: effect.RetryAfter,
		}
		if r.sent {
			// The answer started after the control goroutine had decided to refuse.
			problem.Outcome = caller.OutcomeRan
			r.response.Abort(problem)
			return
		}
		r.response.WriteProblem(problem)
	case request.Abort:
		r.response.Abort(&caller.Problem{Kind: "cut", Status: http.StatusBadGateway, Detail: effect.Reason, Outcome: string(effect.Outcome)})
	}
}

// abortForShutdown ends a call whose answer is incomplete when the process stops.
func (r *relay) abortForShutdown() {
	problem := &caller.Problem{
		Kind: "shutdown", Status: http.StatusServiceUnavailable,
		Detail: "the entry ended before the answer", Outcome: caller.OutcomeMayHaveRun,
	}
	if r.sent {
		r.response.Abort(problem)
		return
	}
	r.response.WriteProblem(problem)
}

// refusalKind returns the kind of problem that a refusal with a status stands for.
func refusalKind(status int) string {
	switch status {
	case http.StatusGatewayTimeout:
		return "deadline"
	case http.StatusServiceUnavailable:
		return "unavailable"
	case http.StatusTooManyRequests:
		return "over-limit"
	case http.StatusConflict:
		return "conflict"
	}
	return "failed"
}

// Models implements caller.Handler. It returns the models that the account may use.
func (e *Entry) Models(keyDigest string) ([]string, *caller.Problem) {
	t := e.config.Table()
	account, problem := e.account(t, keyDigest)
	if problem != nil {
		return nil, problem
	}
	var names []string
	for name, row := range t.Endpoints {
		if row.Kind == table.EndpointEngine && mayUseEndpoint(account, name) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names, nil
}

// account returns the account that a key belongs to.
func (e *Entry) account(t *table.Table, digest string) (table.Account, *caller.Problem) {
	if t == nil {
		return table.Account{}, e.notRunProblem("no-table", http.StatusServiceUnavailable, "this entry has no table yet", e.config.RetryAfter)
	}
	if digest == "" {
		return table.Account{}, e.notRunProblem("no-key", http.StatusUnauthorized, "the request carries no bearer key", 0)
	}
	account, ok := t.AccountByKeyDigest(digest)
	if !ok {
		return table.Account{}, e.notRunProblem("unknown-key", http.StatusUnauthorized, "the key is not known", 0)
	}
	return account, nil
}

// tier returns the requested tier, or the account's first one if none is requested.
func (e *Entry) tier(t *table.Table, account table.Account, requested string) (table.Tier, *caller.Problem) {
	if requested == "" && len(account.Tiers) > 0 {
		requested = account.Tiers[0]
	}
	row, ok := t.Tiers[requested]
	if !ok || !slices.Contains(account.Tiers, requested) {
		return table.Tier{}, e.notRunProblem("tier", http.StatusForbidden, "the account may not use this tier", 0)
	}
	return row, nil
}

// endpoint returns the model or service that a request names.
func (e *Entry) endpoint(t *table.Table, account table.Account, r *caller.Request) (table.Endpoint, *caller.Problem) {
	kind := table.EndpointEngine
	if r.Service {
		kind = table.EndpointService
	}
	row, ok := t.Endpoints[r.Endpoint]
	if !ok || row.Kind != kind {
		return table.Endpoint{}, e.notRunProblem("unknown-endpoint", http.StatusNotFound, "there is no such model or service", 0)
	}
	if !mayUseEndpoint(account, r.Endpoint) {
		return table.Endpoint{}, e.notRunProblem("endpoint", http.StatusForbidden, "the account may not use this model or service", 0)
	}
	return row, nil
}

// mayUseEndpoint reports whether an account may use an endpoint; an account without a
// list of endpoints may use all.
func mayUseEndpoint(account table.Account, endpoint string) bool {
	return len(account.Endpoints) == 0 || slices.Contains(account.Endpoints, endpoint)
}

// nonIdempotent reports whether a request must not run twice: because the service's
// row in the table lists its method, or because it carries an idempotency key.
func nonIdempotent(endpoint table.Endpoint, r *caller.Request) bool {
	if !r.Service {
		return false
	}
	return r.IdempotencyKey != "" || slices.Contains(endpoint.NonIdempotent, r.Method)
}

// notRunProblem counts and returns the refusal of a request without any attempt.
func (e *Entry) notRunProblem(kind string, status int, detail string, retryAfter time.Duration) *caller.Problem {
	e.metrics.requestRefused(kind)
	return &caller.Problem{Kind: kind, Status: status, Detail: detail, Outcome: caller.OutcomeNotRun, RetryAfter: retryAfter}
}

// expectedTokens returns the number of tokens that a call is expected to generate: the
// caller's limit, or a default, but not more than the endpoint's limit.
func expectedTokens(k *call) uint32 {
	if k.request.Service {
		return 0
	}
	tokens := k.request.MaxTokens
	if tokens == 0 {
		tokens = defaultExpectedTokens
	}
	if limit := k.endpoint.MaxTokens; limit > 0 {
		tokens = min(tokens, uint32(limit))
	}
	return tokens
}

// prefixHash returns the hash of the beginning that a prompt may share with other
// prompts; 0 = none.
func prefixHash(k *call) uint64 {
	hashes := k.request.Prefixes
	if len(hashes) == 0 {
		return 0
	}
	return hashes[min(sharedPrefixHashes, len(hashes))-1]
}
