package scheduler

import (
	"slices"
	"time"
)

const (
	// minEventTimeout is how long callers wait for an event of a stream at least, by the
	// platform's protocol.
	minEventTimeout = 2 * time.Second
	// streamSilenceShare is the part of the time that a caller waits for an event for which
	// a stream that can move to another endpoint may be silent before its endpoint counts as
	// lost. It leaves the other endpoint more than as much time for the event.
	streamSilenceShare = 0.45
	// plainSilenceShare is the part of a plain request's time at the endpoint, up to its
	// deadline, for which the endpoint may be silent.
	plainSilenceShare = 0.4
	// silenceFactor times the expected time is allowed where that is longer.
	silenceFactor = 8
)

// silentRuns lists repeatable runs whose endpoint has sent nothing for too long, to any
// run, and that another endpoint can take.
func (s *Scheduler) silentRuns(now time.Duration) []uint64 {
	var ids []uint64
	for id, r := range s.runs {
		if now >= r.request.Deadline-2*s.cfg.RefuseMargin {
			continue // too late to run at another endpoint
		}
		if r.request.Repeatable && now > max(r.lastByteAt, r.endpoint.lastByteAt)+s.silenceTimeout(r) && s.hasAlternative(now, r) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// hasAlternative tells whether another endpoint can take the request of a run.
func (s *Scheduler) hasAlternative(now time.Duration, r *run) bool {
	for _, e := range s.endpointsOf(r.request.Service) {
		if r.firstEventSeen && r.request.Stream && e.Version != r.endpoint.Version || !r.request.mayRunAt(e) {
			continue
		}
		if e != r.endpoint && e.usable(now) && !r.request.Avoid[e.ID] && s.gate.Open(now, e.ID) {
			return true
		}
	}
	return false
}

// silenceTimeout returns how long the endpoint of a run may be silent before the run fails over.
func (s *Scheduler) silenceTimeout(r *run) time.Duration {
	e := r.endpoint
	if !r.request.Stream {
		share := time.Duration(plainSilenceShare * float64(r.request.Deadline-r.sentAt))
		return max(share, silenceFactor*max(e.serviceTime, defaultServiceTime))
	}
	interval := max(e.eventInterval, defaultEventInterval)
	tokens := e.pendingPromptTokens() + s.peers.loads[e.ID].PromptTokens
	prefill := time.Duration(float64(tokens) / defaultPromptTokensPerEvent * float64(interval))
	share := time.Duration(streamSilenceShare * float64(max(r.request.EventTimeout, minEventTimeout)))
	return max(share, silenceFactor*interval+2*prefill)
}
