package front

import (
	"context"
	"errors"
	"iter"
	"net/http"
	"slices"
	"time"

	"primrosespoke.dev/coord/routing"
)

const (
	// exitMargin is the part of Config.StopTimeout that remains, after the drain, for the
	// process to exit.
	exitMargin = 700 * time.Millisecond
	// lastAnswerMargin is the part of Config.StopTimeout before exitMargin in which callers
	// whose requests did not end in time get their answers.
	lastAnswerMargin = 200 * time.Millisecond
	// keptWorkTimes is the number of a route's newest work times that are known.
	keptWorkTimes = 64
	// minWorkTimes is the number of work times below which nothing is expected of a route.
	minWorkTimes = 8
	// repeatableWorkShare is the share of a route's work times that its expected work time
	// covers if its requests may run again. For others it covers all.
	repeatableWorkShare = 0.9
	// workMargin is how much longer than expected work may take.
	workMargin = 1.25
)

// errStopping is the cause of the cancellation of a request that did not end before the front.
var errStopping = errors.New("stopping")

// drain fails the readiness check, serves the requests that still arrive until the load
// balancer notices, and waits for the requests in progress.
func (f *Front) drain(callers *http.Server) {
	begun := time.Now()
	left := max(f.config.StopTimeout-exitMargin-lastAnswerMargin, 0)
	f.requestsEnd.Store(int64(f.now() + left))
	f.draining.Store(true)
	close(f.drainBegun)
	f.log.Info().Int64("in_progress", f.inProgress.Load()).Dur("within_ms", left).Msg("front_stopping")
	timer := time.AfterFunc(left, f.endRequests)
	defer timer.Stop()
	defer f.endRequests()
	sleep(f.baseContext, min(f.config.Timing.DrainDelay, left))
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(left+lastAnswerMargin))
	defer cancel()
	// Shutdown closes the listener and idle connections, and waits for active ones.
	if err := callers.Shutdown(ctx); err != nil {
		f.log.Warn().Int64("in_progress", f.inProgress.Load()).Err(err).Msg("front_shutdown_incomplete")
	}
}

// workTimes are the newest work times of a route's requests: from the send to the end of a
// successful answer, or until the request timed out.
type workTimes struct {
	times []time.Duration
	next  int // place of the next one, once there are keptWorkTimes
}

func (w *workTimes) add(t time.Duration) {
	if len(w.times) < keptWorkTimes {
		w.times = append(w.times, t)
		return
	}
	w.times[w.next] = t
	w.next = (w.next + 1) % keptWorkTimes
}

// covering returns the time within which a share of the known times lies; false = too few are
// known.
func (w *workTimes) covering(share float64) (time.Duration, bool) {
	if w == nil || len(w.times) < minWorkTimes {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(w.times))
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)], true
}

// recordWork adds a work time; 0 = none.
func (c *control) recordWork(route string, t time.Duration) {
	if t <= 0 {
		return
	}
	if c.workTimes[route] == nil {
		c.workTimes[route] = &workTimes{}
	}
	c.workTimes[route].add(t)
}

// retainWorkTimes drops the work times of routes that are gone.
func (c *control) retainWorkTimes(routes iter.Seq[*routing.Route]) {
	kept := make(map[string]*workTimes, len(c.workTimes))
	for r := range routes {
		if known := c.workTimes[r.Name]; known != nil {
			kept[r.Name] = known
		}
	}
	c.workTimes = kept
}

// workMessage asks within which time a share of a route's requests was answered.
type workMessage struct {
	route string
	share float64
	reply chan<- expectedWork
}

// expectedWork is the reply to a workMessage.
type expectedWork struct {
	time  time.Duration
	known bool
}

func (m workMessage) apply(c *control) {
	t, known := c.workTimes[m.route].covering(m.share)
	m.reply <- expectedWork{time: t, known: known}
}

// worked returns how long the attempt that has just ended took, as the route's work time; 0 = it
// says nothing of that.
func (d *delivery) worked(result attemptResult) time.Duration {
	timedOut := errors.Is(context.Cause(d.attemptContext), errTimeout)
	if d.attemptSentAt == 0 || !result.answered && !timedOut {
		return 0
	}
	return d.front.now() - d.attemptSentAt
}

// sendEnd returns how long the request may still be sent to an endpoint, if the front stops and
// might otherwise cut it: its deadline or its route's timeout ends before the front, or its work
// is expected to. A stream that has begun is cut if it is not sent on, so it is not limited.
func (d *delivery) sendEnd() (left time.Duration, limited bool) {
	if !d.front.draining.Load() || d.streamStarted {
		return 0, false
	}
	end := time.Duration(d.front.requestsEnd.Load())
	if d.deadline > 0 && d.deadline <= end {
		return 0, false
	}
	share := 1.0
	if d.maxRuns > 1 {
		share = repeatableWorkShare
	}
	reply := make(chan expectedWork, 1)
	d.front.send(workMessage{route: d.admission.Route.Name, share: share, reply: reply})
	select {
	case expected := <-reply:
		if !expected.known {
			return 0, true
		}
		return end - time.Duration(workMargin*float64(expected.time)) - d.front.now(), true
	case <-d.front.stopped:
		return 0, true
	}
}

// checkSendEnd ends a request that would be sent too late to end before the front.
func (d *delivery) checkSendEnd() outcome {
	if left, limited := d.sendEnd(); limited && left <= 0 {
		return d.endUnsent()
	}
	return ""
}

// reasonTooLate is why a request is not sent: the front might end before it.
const reasonTooLate = "stopping before the request may have ended"

// endUnsent sends the final answer of a request that is not sent any more as the front stops.
func (d *delivery) endUnsent() outcome {
	if d.runs == 0 {
		return d.refuseUnavailable(reasonTooLate, minRetryAfter)
	}
	return d.giveUp(reasonTooLate)
}

// closeIfDraining tells the caller that the connection closes after this answer.
func (d *delivery) closeIfDraining() {
	if d.front.draining.Load() {
		d.writer.Header().Set("Connection", "close")
	}
}
