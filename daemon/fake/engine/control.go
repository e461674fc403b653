package engine

// Faults are the faults to inject. The zero value injects none.
type Faults struct {
	// Slow multiplies the duration of every step; 0 = unchanged.
	Slow float64 `json:"slow"`
	// CutAfter aborts the connection of a response after this many events; 0 = never.
	CutAfter int `json:"cut_after"`
	// EndEarly loses the run after this many events: the body ends without [DONE]
	// and the stream can't be resumed; 0 = never.
	EndEarly int `json:"end_early"`
	// Times bounds how often CutAfter and EndEarly take effect in total; 0 = no bound.
	Times int `json:"times"`
	// Hang stops all steps.
	Hang bool `json:"hang"`
	// Refuse is the HTTP status that answers every new request; 0 = requests are accepted.
	Refuse int `json:"refuse"`
	// ResumeShift is added to the number of the first event of a resumed stream:
	// a negative value repeats events, a positive one leaves events out.
	ResumeShift int `json:"resume_shift"`
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.faultsApplied = 0
	e.faultsChanged.Broadcast()
}

// Restart loses all runs, streams and caches, as if a new instance of the engine had started.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.streams {
		if r.state == stateRunning || r.state == stateSuspended {
			e.end(r, stateLost)
		}
	}
	e.streams = make(map[string]*run)
	e.cache.clear()
}

// Records returns a copy of the records of all executions so far.
func (e *Engine) Records() []Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	records := make([]Record, len(e.records))
	for i, r := range e.records {
		records[i] = *r
	}
	return records
}

// Order is an instruction to the engine about a version of a model, with its
// fencing number.
type Order struct {
	Order   string `json:"order"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Fence   int64  `json:"fence"`
}

// Orders returns the orders carried out, oldest first.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

// applyOrder carries out an order. It returns false if the engine checks fencing
// numbers and has carried out an order with a higher one.
func (e *Engine) applyOrder(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.CheckFence && o.Fence < e.newestFence {
		return false
	}
	e.newestFence = max(e.newestFence, o.Fence)
	e.orders = append(e.orders, o)
	return true
}

// consumeFault reports whether a fault bounded by Faults.Times takes effect once
// more, and counts it. The caller holds mu.
func (e *Engine) consumeFault() bool {
	if e.faults.Times > 0 && e.faultsApplied >= e.faults.Times {
		return false
	}
	e.faultsApplied++
	return true
}
