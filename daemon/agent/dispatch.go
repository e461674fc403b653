package agent

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"primrosespoke.dev/coord/endpoint"
	"primrosespoke.dev/daemon/peer/node"
	"primrosespoke.dev/daemon/peer/node/nodepb"
)

// writeTimeout is how long one write to a reader may block before the reader counts as gone.
const writeTimeout = 30 * time.Second

// run is one run of an attempt. It belongs to the control goroutine, except for the
// answer and the gate, which have mutexes and are shared with the backend.
type run struct {
	key endpoint.AttemptKey
	// endpointRunID is the ID by which the endpoint knows the run.
	endpointRunID  string
	header         *nodepb.DispatchHeader
	body           []byte
	answer         *answer
	gate           *gate
	cancel         context.CancelFunc // cancels the context of backend.run
	readers        int                // open readers of the answer
	runningAtStart int                // runs in service at its start, this one included
	ended          chan struct{}      // closed when the endpoint no longer works on the run
	tableVersion   int64              // version of the table at the start
}

// dispatchResult answers a dispatchMessage with a run to read or a refusal.
type dispatchResult struct {
	run     *run
	refusal *nodepb.Refusal
}

// dispatchMessage asks to start an attempt under a grant.
type dispatchMessage struct {
	header   *nodepb.DispatchHeader
	body     []byte
	received time.Duration // when the header was read; the caller's time left counts from then
	reply    chan dispatchResult
}

func (m dispatchMessage) apply(c *control) {
	key := endpoint.AttemptKey{RequestID: m.header.RequestId, Attempt: m.header.Attempt}
	if m.refuseForbidden(c, key) {
		return
	}
	c.dispatching = &m
	effects := c.step(endpoint.Dispatch{
		Attempt:        key,
		Grant:          endpoint.GrantID(m.header.GrantId),
		Incarnation:    m.header.Incarnation,
		TimeLeft:       time.Duration(m.header.WaitMs)*time.Millisecond - (c.cfg.Now() - m.received),
		ContinueUnread: m.header.NonIdempotent,
	})
	c.dispatching = nil
	for _, effect := range effects {
		switch e := effect.(type) {
		case endpoint.Refuse:
			c.cfg.Log.Info().Str("request_id", key.RequestID).Uint32("attempt", key.Attempt).
				Str("reason", e.Kind.String()).Msg("dispatch_refused")
			m.reply <- dispatchResult{refusal: refusalOf(e.Kind)}
		}
	}
}

// refusalOf returns the Refusal for a kind: MAY_HAVE_RUN if the attempt may have been
// dispatched before, else NOT_RUN.
func refusalOf(kind endpoint.RefusalKind) *nodepb.Refusal {
	outcome := nodepb.Refusal_NOT_RUN
	if kind == endpoint.RefusedRepeated {
		outcome = nodepb.Refusal_MAY_HAVE_RUN
	}
	return &nodepb.Refusal{Outcome: outcome, Reason: kind.String(), Status: http.StatusServiceUnavailable}
}

// start starts a run, whose first reader is the entry that dispatched it.
func (c *control) start(key endpoint.AttemptKey, header *nodepb.DispatchHeader, body []byte) *run {
	ctx, stop := context.WithCancel(c.ctx)
	r := &run{
		key: key, endpointRunID: c.chooseEndpointRunID(key.RequestID), header: header, body: body, answer: newAnswer(), gate: newGate(),
		cancel: stop, readers: 1, ended: make(chan struct{}),
	}
	if t := c.cfg.Table(); t != nil {
		r.tableVersion = t.Version
	}
	c.runs[key] = r
	c.endpointRuns[r.endpointRunID] = r
	r.runningAtStart = c.machine.Status().Running
	c.lastStart = c.cfg.Now()
	c.lastPrefill = c.speed.ServiceTime(header.PrefixHash, int(header.PromptTokens), 0, 1)
	c.readers++
	c.metrics.started.Add(ctx, 1, tierAttribute(header.Tier))
	c.cfg.Log.Info().Str("request_id", key.RequestID).Uint32("attempt", key.Attempt).
		Str("tier", header.Tier).Msg("run_started")
	go func() {
		defer stop()
		c.post(endedMessage{run: r, outcome: c.backend.run(ctx, r)})
	}()
	return r
}

// chooseEndpointRunID chooses the ID by which the endpoint will know a run. The endpoint knows
// nothing of accounts, so it gets the caller's ID, unless a run of another account
// has the same one.
func (c *control) chooseEndpointRunID(requestID string) string {
	id := node.UnqualifyID(requestID)
	if c.endpointRuns[id] != nil {
		return requestID
	}
	return id
}

// hasEnded reports whether the endpoint no longer works on the run.
func (r *run) hasEnded() bool {
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

// endedMessage reports that the endpoint no longer works on a run.
type endedMessage struct {
	run     *run
	outcome outcome
}

func (m endedMessage) apply(c *control) {
	r := m.run
	close(r.ended)
	if c.endpointRuns[r.endpointRunID] == r {
		delete(c.endpointRuns, r.endpointRunID)
	}
	if m.outcome.unreachable {
		c.markUnreachable()
	}
	c.step(endpoint.Ended{
		Attempt: r.key, Outcome: m.outcome.kind,
		Acknowledged: m.outcome.acknowledged, Buffered: r.answer.size(),
	})
	c.recordEnd(r, m.outcome)
	c.cfg.Log.Info().Str("request_id", r.key.RequestID).Uint32("attempt", r.key.Attempt).
		Str("outcome", m.outcome.kind.String()).Str("reason", m.outcome.reason).Msg("run_ended")
}

func (c *control) cancelRun(e endpoint.Cancel) {
	c.cfg.Log.Info().Str("request_id", e.Attempt.RequestID).Uint32("attempt", e.Attempt.Attempt).
		Str("reason", e.Reason).Msg("run_cancelled")
	if r := c.runs[e.Attempt]; r != nil {
		r.cancel()
	}
}

func (c *control) discardAnswer(key endpoint.AttemptKey) {
	if r := c.runs[key]; r != nil {
		r.answer.discard()
		delete(c.runs, key)
	}
}

// openReaderMessage counts one more reader of a run's answer; the reply is nil if no
// such run is held.
type openReaderMessage struct {
	key   endpoint.AttemptKey
	reply chan *run
}

func (m openReaderMessage) apply(c *control) {
	r := c.runs[m.key]
	if r != nil {
		r.readers++
		c.readers++
		c.step(endpoint.CallerBack{Attempt: m.key})
	}
	m.reply <- r
}

// readerLeftMessage counts one reader less of a run's answer.
type readerLeftMessage struct{ run *run }

func (m readerLeftMessage) apply(c *control) {
	m.run.readers--
	c.readers--
	if m.run.readers == 0 {
		c.step(endpoint.CallerGone{Attempt: m.run.key})
	}
}

// serveDispatch handles a dispatch and streams the frames of its answer.
func (a *Agent) serveDispatch(w http.ResponseWriter, r *http.Request) {
	header, body, err := node.ReadDispatch(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	received := a.cfg.Now()
	data, err := io.ReadAll(io.LimitReader(body, a.cfg.MaxBody+1))
	if err != nil || int64(len(data)) != header.BodyBytes && header.BodyBytes > 0 {
		http.Error(w, "dispatch is cut", http.StatusBadRequest)
		return
	}
	if int64(len(data)) > a.cfg.MaxBody {
		refuseFrame(w, header, &nodepb.Refusal{
			Outcome: nodepb.Refusal_NOT_RUN, Reason: "body too long", Status: http.StatusRequestEntityTooLarge,
		})
		return
	}
	if r.Context().Err() != nil {
		return // the entry has disconnected: nothing is started
	}
	// If the entry disconnects from here on, the run is started all the same and has no
	// reader. The reply is awaited in any case, so that the reader is counted off
	// again by stream.
	result, err := ask(context.WithoutCancel(r.Context()), a.control, func(reply chan dispatchResult) message {
		return dispatchMessage{header: header, body: data, received: received, reply: reply}
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if result.refusal != nil {
		refuseFrame(w, header, result.refusal)
		return
	}
	a.stream(w, r, result.run, 0)
}

// refuseFrame answers a dispatch with a Refusal as its only frame.
func refuseFrame(w http.ResponseWriter, header *nodepb.DispatchHeader, refusal *nodepb.Refusal) {
	_ = node.NewFrameWriter(w).Write(&nodepb.Frame{
		RequestId: header.RequestId, Attempt: header.Attempt,
		Kind: &nodepb.Frame_Refusal{Refusal: refusal},
	})
}

// serveRun streams the frames of a run that was started by an earlier dispatch, from
// an offset of its answer.
func (a *Agent) serveRun(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	attempt, err := strconv.ParseUint(query.Get("attempt"), 10, 32)
	if err != nil {
		http.Error(w, "attempt is not a number", http.StatusBadRequest)
		return
	}
	offset, err := strconv.ParseInt(query.Get("offset"), 10, 64)
	if err != nil || offset < 0 {
		http.Error(w, "offset is not a number", http.StatusBadRequest)
		return
	}
	key := endpoint.AttemptKey{RequestID: query.Get("request_id"), Attempt: uint32(attempt)}
	found, err := ask(context.WithoutCancel(r.Context()), a.control, func(reply chan *run) message {
		return openReaderMessage{key: key, reply: reply}
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if found == nil {
		http.Error(w, "run is not known", http.StatusNotFound)
		return
	}
	a.stream(w, r, found, offset)
}

// stream writes the frames of a run from an offset, until the last one or until the
// reader disconnects.
func (a *Agent) stream(w http.ResponseWriter, r *http.Request, found *run, offset int64) {
	defer a.control.post(readerLeftMessage{run: found})
	reader, err := found.answer.open(offset)
	if err != nil {
		http.Error(w, err.Error(), http.StatusGone)
		return
	}
	defer reader.close()
	out := node.NewFrameWriter(w)
	deadline := http.NewResponseController(w)
	for {
		frame, err := reader.next(r.Context())
		if err != nil {
			return
		}
		frame.RequestId = found.key.RequestID
		frame.Attempt = found.key.Attempt
		// A reader that takes no bytes must not block the run for ever.
		_ = deadline.SetWriteDeadline(time.Now().Add(writeTimeout))
		if err := out.Write(frame); err != nil {
			return
		}
		_ = deadline.SetWriteDeadline(time.Time{})
		if frame.GetEnd() != nil || frame.GetRefusal() != nil {
			return
		}
	}
}
