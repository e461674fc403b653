package entry

import (
	"time"

	"primrosespoke.dev/coord/invariant"
)

// dumpTimeout limits the time that Dump waits for the control goroutine.
const dumpTimeout = 2 * time.Second

// Dump is a copy of the entry's state for operators. It contains no keys and no prompts.
type Dump struct {
	ID              string         `json:"id"`
	Incarnation     string         `json:"incarnation"`
	Draining        bool           `json:"draining"`
	TableVersion    int64          `json:"table_version"`
	Waiting         int            `json:"waiting"`
	FurtherAttempts int            `json:"further_attempts"`
	Violations      int64          `json:"invariant_violations"`
	Requests        []RequestState `json:"requests"`
}

// RequestState describes one request in a Dump.
type RequestState struct {
	RequestID string `json:"request_id"`
	Account   string `json:"account"`
	Tier      string `json:"tier"`
	Endpoint  string `json:"endpoint"`
	Phase     string `json:"phase"`
	Attempt   uint32 `json:"attempt"`
	Agent     string `json:"agent,omitempty"`
	AgeMs     int64  `json:"age_ms"`
	LeftMs    int64  `json:"left_ms"`
}

// dumpQuery asks the control goroutine for a Dump.
type dumpQuery struct{ reply chan Dump }

func (m dumpQuery) handle(c *control, now time.Duration) {
	m.reply <- c.dump(now)
}

func (c *control) dump(now time.Duration) Dump {
	e := c.entry
	d := Dump{
		ID:              e.config.ID,
		Incarnation:     e.incarnation,
		Draining:        e.draining.Load(),
		Waiting:         c.queue.Len(),
		FurtherAttempts: c.furtherAttempts,
		Violations:      invariant.Count(),
		Requests:        make([]RequestState, 0, len(c.calls)),
	}
	if t := e.config.Table(); t != nil {
		d.TableVersion = t.Version
	}
	for _, k := range c.calls {
		d.Requests = append(d.Requests, RequestState{
			RequestID: k.request.ID,
			Account:   k.account.Name,
			Tier:      k.tier.Name,
			Endpoint:  k.endpoint.Name,
			Phase:     k.machine.Phase().String(),
			Attempt:   k.machine.Attempt(),
			Agent:     k.machine.Agent(),
			AgeMs:     (now - k.arrived).Milliseconds(),
			LeftMs:    (k.deadline - now).Milliseconds(),
		})
	}
	return d
}

// Dump returns a Dump, or an error text if the control goroutine does not answer in
// time. Traffic continues meanwhile.
func (e *Entry) Dump() any {
	query := dumpQuery{reply: make(chan Dump, 1)}
	timeout := time.NewTimer(dumpTimeout)
	defer timeout.Stop()
	select {
	case e.inbox <- query:
	case <-timeout.C:
		return "the control goroutine does not take messages"
	}
	select {
	case d := <-query.reply:
		return d
	case <-timeout.C:
		return "the control goroutine does not answer"
	}
}
