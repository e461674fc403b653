package claimlog

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"primrosespoke.dev/coord/claim"
	"primrosespoke.dev/daemon/peer/logservice"
)

// message is sent by other goroutines and applied by the control goroutine.
type message interface{ apply(l *Log) }

// Run runs the state machine until ctx ends, and then up to flushTimeout longer, so
// that releases and ended runs are still appended to the stream.
func (l *Log) Run(ctx context.Context) {
	loopCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	var loops sync.WaitGroup
	loops.Go(func() { l.appendLoop(loopCtx) })
	loops.Go(func() { l.readLoop(loopCtx) })
	defer loops.Wait()
	defer stop()
	defer close(l.stopped)
	l.reads <- l.machine.Next()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !l.finished(ctx) {
		select {
		case <-l.shutdownSignal(ctx):
		case m := <-l.inbox:
			m.apply(l)
		case <-timer.C:
			l.step(claim.SetSnapshotWriter{Chosen: l.cfg.SnapshotWriter()})
			l.step(claim.Tick{})
		}
		timer.Reset(l.tickInterval())
	}
}

// shutdownSignal returns the channel of ctx's end, or nil once the end was seen, so
// that the closed channel does not wake the loop again and again.
func (l *Log) shutdownSignal(ctx context.Context) <-chan struct{} {
	if l.flushDeadline != 0 {
		return nil
	}
	return ctx.Done()
}

// finished reports whether ctx has ended and either nothing is left to append or flushTimeout has passed.
func (l *Log) finished(ctx context.Context) bool {
	if ctx.Err() == nil {
		return false
	}
	now := l.cfg.Now()
	if l.flushDeadline == 0 {
		l.flushDeadline = now + flushTimeout
	}
	return !l.machine.Busy() || now >= l.flushDeadline
}

func (l *Log) tickInterval() time.Duration {
	if l.machine.Busy() {
		return busyTickInterval
	}
	return idleTickInterval
}

// step gives the machine an event and carries out the effects.
func (l *Log) step(e claim.Event) {
	for _, effect := range l.machine.Step(l.cfg.Now(), e) {
		switch effect := effect.(type) {
		case claim.Append:
			l.appends <- effect // never blocks: the machine has one append in flight at a time
		case claim.Run:
			l.deliver(effect.Call, Decision{Claim: effect.Claim, Deadline: effect.Deadline, now: l.cfg.Now})
		case claim.Refuse:
			l.metrics.refused(effect.Refusal)
			l.deliver(effect.Call, Decision{Refusal: &effect.Refusal})
		case claim.Replay:
			l.metrics.replayed()
			l.deliver(effect.Call, Decision{Answer: &effect.Answer})
		}
	}
}

// deliver gives the waiting call its decision.
func (l *Log) deliver(call uint64, d Decision) {
	l.calls[call] <- d
	delete(l.calls, call)
}

// startMessage is one call of Log.Claim.
type startMessage struct {
	request Request
	reply   chan Decision
	call    chan uint64 // receives the number of the call
}

func (m startMessage) apply(l *Log) {
	l.lastCall++
	l.calls[l.lastCall] = m.reply
	m.call <- l.lastCall
	r := m.request
	l.step(claim.Start{
		Call:      l.lastCall,
		Key:       claim.NewKey(r.Account, r.Key),
		Digest:    claim.NewDigest(r.Method, r.Path, r.Body),
		CreatedMS: r.CreatedMS,
		Deadline:  l.cfg.Now() + r.TimeLeft,
	})
}

// cancelMessage cancels a call; it is posted after the call's startMessage.
type cancelMessage struct{ call chan uint64 }

func (m cancelMessage) apply(l *Log) { l.step(claim.Cancel{Call: <-m.call}) }

// eventMessage passes an event on to the machine.
type eventMessage struct{ event claim.Event }

func (m eventMessage) apply(l *Log) { l.step(m.event) }

// stateMessage asks for a copy of the state.
type stateMessage struct{ reply chan State }

func (m stateMessage) apply(l *Log) {
	m.reply <- State{Ready: l.machine.Ready(), Next: l.machine.Next(), Pending: len(l.calls)}
}

// appendLoop appends to the stream, one batch at a time.
func (l *Log) appendLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-l.appends:
			l.post(eventMessage{l.append(ctx, a)})
		}
	}
}

// append appends one batch and returns the event for the machine. Only
// ErrUnavailable proves that the batch is not in the stream.
func (l *Log) append(ctx context.Context, a claim.Append) claim.Event {
	_, err := l.cfg.LogService.Append(ctx, l.cfg.Stream, a.Data)
	l.metrics.appended(err)
	if err == nil {
		return claim.Appended{Batch: a.Batch}
	}
	unknown := !errors.Is(err, logservice.ErrUnavailable)
	l.cfg.Log.Warn().Err(err).Bool("unknown", unknown).Msg("claim_append_failed")
	return claim.AppendFailed{Batch: a.Batch, Unknown: unknown}
}

// readLoop reads the stream from the offsets that the control goroutine asks for, one read at a time.
func (l *Log) readLoop(ctx context.Context) {
	retryDelay := minReadRetryDelay
	var poll time.Duration // 0 at first, so that claims on an empty stream are ready at once
	for {
		var from int64
		select {
		case <-ctx.Done():
			return
		case from = <-l.reads:
		}
		page, err := l.cfg.LogService.Read(ctx, l.cfg.Stream, from, readLimit, poll)
		if err == nil {
			retryDelay = minReadRetryDelay
			poll = l.cfg.Poll
			l.post(pageMessage{pageOf(from, page)})
			continue
		}
		poll = 0
		l.cfg.Log.Warn().Err(err).Msg("claims_not_read")
		l.post(eventMessage{claim.ReadFailed{}})
		sleep(ctx, retryDelay)
		retryDelay = min(2*retryDelay, maxReadRetryDelay)
		l.reads <- from // never blocks: the control goroutine asks for a read only after a page
	}
}

// pageOf converts a page of the log service for the machine.
func pageOf(from int64, page logservice.Page) claim.Page {
	p := claim.Page{
		From: from, Earliest: page.Earliest, Next: page.Next, NowMS: page.NowMS,
		AtHead: len(page.Records) < readLimit,
	}
	for _, r := range page.Records {
		p.Records = append(p.Records, claim.LogRecord{Offset: r.Offset, TimeMS: r.TimeMS, Data: r.Data})
	}
	return p
}

// pageMessage brings a page of the stream; the next read follows it.
type pageMessage struct{ page claim.Page }

func (m pageMessage) apply(l *Log) {
	l.step(claim.PageRead{Page: m.page})
	l.reads <- l.machine.Next()
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
