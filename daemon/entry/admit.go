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
	defaultMaxTokens = 256 // expected of a request that names no bound
	sharedPrefix     = 4   // prefix hashes that name a shared beginning to agents
)

// Admit implements caller.Handler: what the header shows is checked before the body is read.
func (e *Entry) Admit(ctx context.Context, r *caller.Request) *caller.Problem {
	if !e.Ready() {
		return e.problem("draining", http.StatusServiceUnavailable, "this entry takes no new requests", e.config.RetryAfter)
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

// Handle implements caller.Handler.
func (e *Entry) Handle(ctx context.Context, r *caller.Request, w *caller.Response) {
	e.answering.Add(1)
	defer e.answering.Add(-1)
	k, problem := e.newCall(r)
	if problem != nil {
		w.WriteProblem(problem)
		return
	}
	e.post(arrived{call: k})
	out := &relay{entry: e, call: k, out: w, answer: request.NewAnswer(k.request.ID)}
	e.serve(ctx, out)
}

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
		// Two accounts may choose the same ID; within the system they differ.
		own.ID = node.QualifyID(account.Name, r.ID)
	}
	return &call{
		key:           e.lastKey.Add(1),
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
	maxAnswerMargin      = 50 * time.Millisecond
	answerMarginFraction = 50 // of the time that the caller gives
)

// answerMargin is how long before the caller's deadline the entry gives its last
// word, so that it reaches a caller that goes at its deadline.
func answerMargin(deadline time.Duration) time.Duration {
	return min(deadline/answerMarginFraction, maxAnswerMargin)
}

// serve obeys the control goroutine until the call has ended.
func (e *Entry) serve(ctx context.Context, out *relay) {
	gone := ctx.Done()
	for {
		select {
		case cmd := <-out.call.commands:
			if e.obey(ctx, out, cmd) {
				return
			}
		case <-gone:
			gone = nil
			e.post(happened{key: out.call.key, event: request.CallerGone{}})
		case <-e.base.Done():
			out.cutShort()
			return
		}
	}
}

// obey carries out one command and tells whether it was the last.
func (e *Entry) obey(ctx context.Context, out *relay, cmd command) bool {
	switch cmd := cmd.(type) {
	case streamCommand:
		event, err := out.run(ctx, cmd)
		if err != nil {
			e.post(happened{key: out.call.key, event: request.CallerGone{}})
			return false
		}
		e.post(happened{key: out.call.key, event: event})
		return false
	case finalCommand:
		out.finish(cmd.effect)
	}
	return true
}

// finish tells the caller how its request ended.
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
			// The answer began while the refusal was on its way here.
			problem.Outcome = caller.OutcomeRan
			r.out.Abort(problem)
			return
		}
		r.out.WriteProblem(problem)
	case request.Abort:
		r.out.Abort(&caller.Problem{Kind: "cut", Status: http.StatusBadGateway, Detail: effect.Reason, Outcome: string(effect.Outcome)})
	}
}

// cutShort ends a call when the process ends before it.
func (r *relay) cutShort() {
	problem := &caller.Problem{
		Kind: "shutdown", Status: http.StatusServiceUnavailable,
		Detail: "the entry ended before the answer", Outcome: caller.OutcomeMayHaveRun,
	}
	if r.sent {
		r.out.Abort(problem)
		return
	}
	r.out.WriteProblem(problem)
}

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

// Models implements caller.Handler.
func (e *Entry) Models(keyDigest string) ([]string, *caller.Problem) {
	t := e.config.Table()
	account, problem := e.account(t, keyDigest)
	if problem != nil {
		return nil, problem
	}
	var names []string
	for name, row := range t.Endpoints {
		if row.Kind == table.EndpointEngine && mayUse(account, name) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names, nil
}

func (e *Entry) account(t *table.Table, digest string) (table.Account, *caller.Problem) {
	if t == nil {
		return table.Account{}, e.problem("no-table", http.StatusServiceUnavailable, "this entry has no table yet", e.config.RetryAfter)
	}
	if digest == "" {
		return table.Account{}, e.problem("no-key", http.StatusUnauthorized, "the request carries no bearer key", 0)
	}
	account, ok := t.AccountByKey(digest)
	if !ok {
		return table.Account{}, e.problem("unknown-key", http.StatusUnauthorized, "the key is not known", 0)
	}
	return account, nil
}

func (e *Entry) tier(t *table.Table, account table.Account, asked string) (table.Tier, *caller.Problem) {
	if asked == "" && len(account.Tiers) > 0 {
		asked = account.Tiers[0]
	}
	row, ok := t.Tiers[asked]
	if !ok || !slices.Contains(account.Tiers, asked) {
		return table.Tier{}, e.problem("tier", http.StatusForbidden, "the account may not use this tier", 0)
	}
	return row, nil
}

func (e *Entry) endpoint(t *table.Table, account table.Account, r *caller.Request) (table.Endpoint, *caller.Problem) {
	kind := table.EndpointEngine
	if r.Service {
		kind = table.EndpointService
	}
	row, ok := t.Endpoints[r.Endpoint]
	if !ok || row.Kind != kind {
		return table.Endpoint{}, e.problem("unknown-endpoint", http.StatusNotFound, "there is no such model or service", 0)
	}
	if !mayUse(account, r.Endpoint) {
		return table.Endpoint{}, e.problem("endpoint", http.StatusForbidden, "the account may not use this model or service", 0)
	}
	return row, nil
}

func mayUse(account table.Account, endpoint string) bool {
	return len(account.Endpoints) == 0 || slices.Contains(account.Endpoints, endpoint)
}

// nonIdempotent tells whether a request must not run twice: by the endpoint's
// row, or because its caller gave it a key.
func nonIdempotent(endpoint table.Endpoint, r *caller.Request) bool {
	if !r.Service {
		return false
	}
	return r.IdempotencyKey != "" || slices.Contains(endpoint.NonIdempotent, r.Method)
}

// problem is a refusal of a request that no attempt was made for.
func (e *Entry) problem(kind string, status int, detail string, retryAfter time.Duration) *caller.Problem {
	e.metrics.refused(kind)
	return &caller.Problem{Kind: kind, Status: status, Detail: detail, Outcome: caller.OutcomeNotRun, RetryAfter: retryAfter}
}

// expectedTokens is the expected generation: the caller's bound, within the endpoint's.
func expectedTokens(k *call) uint32 {
	if k.request.Service {
		return 0
	}
	tokens := k.request.MaxTokens
	if tokens == 0 {
		tokens = defaultMaxTokens
	}
	if limit := k.endpoint.MaxTokens; limit > 0 {
		tokens = min(tokens, uint32(limit))
	}
	return tokens
}

// prefixHash names the beginning that a prompt may share with others.
func prefixHash(k *call) uint64 {
	hashes := k.request.Prefixes
	if len(hashes) == 0 {
		return 0
	}
	return hashes[min(sharedPrefix, len(hashes))-1]
}
