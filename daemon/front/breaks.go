package front

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"primrosespoke.dev/coord/quarantine"
	"primrosespoke.dev/coord/scheduler"
	"primrosespoke.dev/daemon/peer/backend"
)

const (
	// endSettleTime is how long after a broken connection its endpoint is looked at: an
	// endpoint that ends closes its other connections at the same time, but not in the same
	// instant.
	endSettleTime = 20 * time.Millisecond
	// endProbeTimeout limits the time to find out whether an endpoint has ended.
	endProbeTimeout = time.Second
)

// reasonEndpointEnded is the reason why an answer without length or chunks is not taken for
// complete.
const reasonEndpointEnded = "endpoint ended with its answer"

// brokenRun describes a run whose connection ended before its answer was complete.
type brokenRun struct {
	requestID string
	endpoint  string
	address   string
	born      int64
	parts     []string // shared parts of the prompt
	content   uint64   // see contentID
	subjects  []quarantine.Subject
	sentAt    time.Duration
	at        time.Duration // when the connection ended
	begun     bool          // the endpoint had begun to write the answer
	writing   time.Duration // for how long, if begun
}

func (d *delivery) describeBreak(p scheduler.Placement) brokenRun {
	b := brokenRun{
		requestID: d.call.ID, endpoint: p.Endpoint, address: p.Address, born: p.Born,
		parts: d.call.PromptParts, content: d.content, subjects: d.subjects, sentAt: d.attemptSentAt, at: d.front.now(), begun: d.attemptWritingSince > 0,
	}
	if b.begun {
		b.writing = b.at - d.attemptWritingSince
	}
	return b
}

// endedWithEndpoint reports whether the end of an answer may be that of its endpoint: the answer
// ended with its connection, and that was reset, or nothing listens at the address any more, or
// another incarnation does. The last is what a front sees that was suspended until the endpoint was back.
func (d *delivery) endedWithEndpoint(p scheduler.Placement, answered *backend.Conn, resp *http.Response) bool {
	if !backend.IsCloseDelimited(resp) {
		return false
	}
	if answered.WasReset() {
		return true
	}
	sleep(d.attemptContext, endSettleTime)
	ctx, cancel := context.WithTimeout(d.attemptContext, endProbeTimeout)
	defer cancel()
	if d.front.pool.HasEnded(ctx, p.Address) {
		return true
	}
	expected, known := answered.Incarnation()
	if !known {
		expected = p.Born
	}
	if expected == 0 {
		return false // neither the endpoint nor its row names its incarnation
	}
	born, err := d.front.incarnationAt(ctx, p.Address)
	if err != nil {
		d.front.log.Info().Str("request_id", d.call.ID).Str("endpoint", p.Endpoint).Int64("born", expected).Err(err).Msg("endpoint_not_identified")
		return false
	}
	if born != expected {
		d.front.log.Info().Str("request_id", d.call.ID).Str("endpoint", p.Endpoint).Int64("born", born).Int64("born_before", expected).Msg("endpoint_restarted")
	}
	return born != expected
}

// incarnationAt asks whoever has an address now for its incarnation.
func (f *Front) incarnationAt(ctx context.Context, address string) (born int64, err error) {
	conn, err := f.pool.Get(ctx, address, "")
	if err != nil {
		return 0, err
	}
	if born, known := conn.Incarnation(); known {
		f.pool.Return(conn)
		return born, nil
	}
	if born, err = f.identify(ctx, conn); err != nil {
		conn.Close()
		return 0, err
	}
	conn.SetIncarnation(born)
	f.pool.Return(conn)
	return born, nil
}

// reportBreak has a break examined. A request that may be sent again waits for the result,
// since that depends on whether its endpoint ended.
func (d *delivery) reportBreak(p scheduler.Placement) {
	run := d.describeBreak(p)
	if d.maxRuns > 1 {
		d.front.examineBreak(run)
		return
	}
	go d.front.examineBreak(run)
}

// examineBreak finds out whether an endpoint ended or only the connection, and logs it. An
// endpoint that ended as it began to answer is evidence against the request and the parts of its
// prompt.
func (f *Front) examineBreak(b brokenRun) {
	sleep(f.baseContext, endSettleTime)
	ctx, cancel := context.WithTimeout(f.baseContext, endProbeTimeout)
	defer cancel()
	ended := f.pool.HasEnded(ctx, b.address)
	if f.baseContext.Err() != nil {
		return
	}
	f.log.Info().Str("request_id", b.requestID).Str("endpoint", b.endpoint).Bool("endpoint_ended", ended).
		Bool("begun", b.begun).Int64("writing_ms", b.writing.Milliseconds()).Strs("parts", b.parts).
		Str("content", strconv.FormatUint(b.content, 16)).Msg("run_broken")
	f.metrics.runBroken(ended)
	if ended && (!b.begun || b.writing < quarantine.DefaultWriteWindow) {
		f.send(crashMessage{run: b})
	}
}
