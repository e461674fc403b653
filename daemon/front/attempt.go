package front

import (
	"context"
	"io"
	"math/rand"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"primrosespoke.dev/coord/routing"
	"primrosespoke.dev/coord/scheduler"
	"primrosespoke.dev/daemon/peer/backend"
)

// resultKind says what an attempt proved.
type resultKind int

const (
	// finished: the caller has its final answer.
	finished resultKind = iota + 1
	// notSent: no byte of the request reached the endpoint.
	notSent
	// notRun: the endpoint says that it has not run it and never will.
	notRun
	// mayHaveRun: it was sent, and no whole answer came.
	mayHaveRun
)

// attemptResult is how one attempt ended.
type attemptResult struct {
	kind   resultKind
	final  outcome // set where the caller has its answer
	reason string
}

var resultNames = map[resultKind]string{
	finished: "finished", notSent: "not_sent", notRun: "not_run", mayHaveRun: "may_have_run",
}

func (r attemptResult) name() string {
	return resultNames[r.kind]
}

func done(o outcome) attemptResult {
	return attemptResult{kind: finished, final: o}
}

// attempt sends the request to one endpoint. The scheduler is told how it ended.
func (d *delivery) attempt(p scheduler.Placement) attemptResult {
	d.endpoint = p.Endpoint
	d.avoid[p.Endpoint] = true
	d.logPlaced(p)
	result, outcome := d.exchange(p)
	d.front.send(doneMessage{id: d.id, outcome: outcome})
	return result
}

func (d *delivery) logPlaced(p scheduler.Placement) {
	d.front.log.Info().Str("request_id", d.call.ID).Int("attempt", d.tries).Str("endpoint", p.Endpoint).
		Int64("waited_ms", p.Waited.Milliseconds()).Int("running", p.Running).Int("slots", p.Slots).
		Int("prompts", p.PendingPromptTokens).Int64("event_ms", p.EventInterval.Milliseconds()).Int64("prompt_rate", int64(p.PromptRate)).Int64("expected_ms", p.ExpectedFirstEvent.Milliseconds()).Float64("score", p.Score).Int64("report_age_ms", p.ReportAge.Milliseconds()).
		Int64("version", d.grant.Version).Msg("request_placed")
}

// exchange makes a connection, checks that the request is still allowed, sends it and reads the answer.
func (d *delivery) exchange(p scheduler.Placement) (attemptResult, scheduler.Outcome) {
	conn, err := d.front.pool.Get(d.ctx, p.Address)
	if err != nil {
		if d.ctx.Err() != nil {
			return attemptResult{kind: notSent, reason: err.Error()}, scheduler.Abandoned
		}
		return attemptResult{kind: notSent, reason: err.Error()}, scheduler.Unreachable
	}
	stop := context.AfterFunc(d.ctx, conn.Close)
	defer stop()
	if result, ok := d.stillAllowed(); !ok {
		conn.Close()
		return result, scheduler.Abandoned
	}
	sent, err := conn.Send(d.outgoing(p))
	if err != nil && !sent {
		conn.Close()
		return attemptResult{kind: notSent, reason: err.Error()}, d.broken()
	}
	d.sends++
	resp, err := conn.Receive(d.r.Method, d.isOwn)
	if err != nil {
		conn.Close()
		d.runs++
		return attemptResult{kind: mayHaveRun, reason: d.breakReason(err)}, d.broken()
	}
	result, outcome := d.receive(conn, resp)
	if outcome != scheduler.Answered && outcome != scheduler.Rejected {
		conn.Close()
	}
	return result, outcome
}

// broken is the outcome of an attempt whose connection ended.
func (d *delivery) broken() scheduler.Outcome {
	if d.ctx.Err() == nil {
		return scheduler.Failed
	}
	if errors.Is(context.Cause(d.ctx), errSilent) {
		return scheduler.Unreachable
	}
	return scheduler.Abandoned
}

func (d *delivery) breakReason(err error) string {
	if cause := context.Cause(d.ctx); cause != nil {
		return cause.Error()
	}
	return err.Error()
}

// stillAllowed checks the request against the configuration of this moment: it may
// have waited, and the process may have been suspended.
func (d *delivery) stillAllowed() (attemptResult, bool) {
	grant, refusal, reason := d.check()
	same := reason == "" && refusal == routing.Allowed && d.sameAccount(grant)
	switch {
	case same && (d.started || grant.Version == d.grant.Version):
		return attemptResult{}, true
	case d.started:
		return done(outcomeCut), false
	case reason != "" && d.runs == 0:
		return done(d.refuseNow(reason, freshRetryAfter)), false
	case reason != "":
		return done(d.giveUp(reason)), false
	case refusal == routing.NoRoute:
		return done(d.deny(http.StatusNotFound, "no such route any more")), false
	case !same:
		return done(d.deny(http.StatusUnauthorized, "unknown key")), false
	}
	d.grant = grant
	if !grant.Route.Allows(d.service) {
		d.service = grant.Route.Pick(rand.Float64())
		return attemptResult{kind: notSent, reason: "route moved"}, false
	}
	return attemptResult{}, true
}

// sameAccount tells whether a later grant is for the account that was charged.
func (d *delivery) sameAccount(grant routing.Grant) bool {
	if d.grant.Account == nil || grant.Account == nil {
		return d.grant.Account == nil || grant.Route.Public
	}
	return grant.Account.Name == d.grant.Account.Name
}

func (d *delivery) outgoing(p scheduler.Placement) *backend.Request {
	a := Attempt{Endpoint: p.Endpoint, LastEvent: d.call.LastEvent}
	if d.call.Deadline > 0 {
		a.Left = max(d.ends-d.front.now(), time.Millisecond)
	}
	if d.grant.Account != nil {
		a.Account = d.grant.Account.Name
	}
	if d.lastEvent != "" {
		a.LastEvent = d.lastEvent
	}
	return &backend.Request{
		Method: d.r.Method, URI: d.r.RequestURI, Host: d.r.Host,
		Header: d.front.cfg.Wire.RequestHeader(&d.call, a), Body: d.body,
		HasBody: d.r.ContentLength != 0 || len(d.body) > 0,
	}
}

// isOwn tells whether an answer belongs to this request. Answers that name no
// request are taken only where they claim nothing.
func (d *delivery) isOwn(status int, h http.Header) bool {
	head := d.front.cfg.Wire.ReadHead(status, h)
	if head.RequestID == "" {
		return status >= http.StatusBadRequest
	}
	return head.RequestID == d.call.ID
}

// receive judges an answer by its head and passes it on.
func (d *delivery) receive(conn *backend.Conn, resp *http.Response) (attemptResult, scheduler.Outcome) {
	head := d.front.cfg.Wire.ReadHead(resp.StatusCode, resp.Header)
	if head.NotRun {
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxRejection)); err != nil {
			conn.Close()
		} else {
			conn.Release(resp)
		}
		return attemptResult{kind: notRun, reason: "rejected with " + resp.Status}, scheduler.Rejected
	}
	d.runs++
	success := resp.StatusCode < http.StatusMultipleChoices
	if head.Encoded || success && !head.Sealed {
		return attemptResult{kind: mayHaveRun, reason: "answer without seal"}, scheduler.Failed
	}
	if success && d.grant.Route.Kind == routing.Streaming {
		return d.relay(conn, resp)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil || len(body) > maxAnswer {
		return attemptResult{kind: mayHaveRun, reason: "answer cut short"}, d.broken()
	}
	conn.Release(resp)
	a := &answer{status: resp.StatusCode, header: resp.Header, body: body}
	return d.judge(a, success)
}

const (
	// maxRejection bounds the body of a rejection that is read to keep the connection.
	maxRejection = 64 << 10
	// maxAnswer bounds an answer that is not a stream.
	maxAnswer = 16 << 20
)

// judge passes an answer on, or holds an endpoint's failure while another endpoint may do better.
func (d *delivery) judge(a *answer, success bool) (attemptResult, scheduler.Outcome) {
	if d.started {
		return attemptResult{kind: mayHaveRun, reason: "stream not taken up"}, scheduler.Failed
	}
	if !success && a.status >= http.StatusInternalServerError && d.grant.Route.Repeatable() {
		d.held = a
		return attemptResult{kind: mayHaveRun, reason: "endpoint failed with " + http.StatusText(a.status)}, scheduler.Failed
	}
	outcome := scheduler.Answered
	if a.status >= http.StatusInternalServerError {
		outcome = scheduler.Failed
	}
	return done(d.pass(a)), outcome
}
