package scheduler_test

import (
	"time"
)

// simEngine models an engine with continuous batching: each step generates one token for
// every request past its prefill, and prefills up to a chunk of the other prompts, the
// oldest first.
type simEngine struct {
	id         string
	slots      int
	slowdown   float64 // multiplies all times
	pace       float64 // multiplies all times too, for a while; 0 = 1
	memory     int     // tokens; 0 = any number
	queue      []*simRun
	running    []*simRun
	nextStepAt time.Duration
}

type simRun struct {
	call        *simCall
	front       int
	prompt      int // tokens left to prefill
	output      int // tokens left to generate
	generated   int // tokens
	lastEventAt time.Duration
	longestGap  time.Duration
}

const (
	simStep         = 3370 * time.Microsecond
	simStepPerRun   = 11 * time.Microsecond
	simPrefillChunk = 2048     // tokens per step
	simPromptRate   = 61_200.0 // tokens per second
	simEventTokens  = 6        // tokens per event
)

// step simulates one step. It returns the runs that had an event and those that ended.
func (e *simEngine) step(now time.Duration) (events, ended []*simRun) {
	for len(e.running) < e.slots && len(e.queue) > 0 {
		e.running = append(e.running, e.queue[0])
		e.queue = e.queue[1:]
	}
	if len(e.running) == 0 {
		e.nextStepAt = now + time.Millisecond
		return nil, nil
	}
	took := simStep + time.Duration(len(e.running))*simStepPerRun
	budget := simPrefillChunk
	for _, r := range e.running {
		read := min(budget, r.prompt)
		r.prompt -= read
		budget -= read
	}
	took += time.Duration(float64(simPrefillChunk-budget) / simPromptRate * float64(time.Second))
	e.nextStepAt = now + time.Duration(float64(took)*e.slowdown*e.currentPace())
	var left []*simRun
	for _, r := range e.running {
		if r.prompt > 0 {
			left = append(left, r)
			continue
		}
		r.generated++
		r.output--
		if r.generated%simEventTokens == 1 || r.output <= 0 {
			if r.generated > 1 {
				r.longestGap = max(r.longestGap, e.nextStepAt-r.lastEventAt)
			}
			r.lastEventAt = e.nextStepAt
			events = append(events, r)
		}
		if r.output <= 0 {
			ended = append(ended, r)
			continue
		}
		left = append(left, r)
	}
	e.running = left
	return events, ended
}

// overfull reports whether the requests that the engine holds exceed its memory.
func (e *simEngine) overfull() bool {
	held := 0
	for _, list := range [][]*simRun{e.queue, e.running} {
		for _, r := range list {
			held += r.call.prompt + r.generated
		}
	}
	return e.memory > 0 && held > e.memory
}

func (e *simEngine) currentPace() float64 {
	if e.pace == 0 {
		return 1
	}
	return e.pace
}

// remove cancels the run of a call whose caller has gone, and returns it; nil = none.
func (e *simEngine) remove(call *simCall) *simRun {
	var removed *simRun
	drop := func(list []*simRun) []*simRun {
		var left []*simRun
		for _, r := range list {
			if r.call == call {
				removed = r
				continue
			}
			left = append(left, r)
		}
		return left
	}
	e.queue, e.running = drop(e.queue), drop(e.running)
	return removed
}
