package engine

// Faults are the engine's misbehaviours. The zero value is a healthy engine.
type Faults struct {
	// Slow multiplies all times; 0 = as built.
	Slow float64 `json:"slow"`
	// CutAfter aborts a stream's connection after so many events; 0 = never.
	CutAfter int `json:"cut_after"`
	// EndEarly loses the run after so many events: the body ends without [DONE]
	// and the stream can't be resumed; 0 = never.
	EndEarly int `json:"end_early"`
	// Times bounds how often CutAfter and EndEarly strike; 0 = always.
	Times int `json:"times"`
	// Hang stops all steps.
	Hang bool `json:"hang"`
	// Refuse is the HTTP status given to every new request; 0 = none.
	Refuse int `json:"refuse"`
	// ResumeShift moves the first event of a resumed stream: below 0 it overlaps, above 0 it leaves a gap.
	ResumeShift int `json:"resume_shift"`
}

// SetFaults replaces the engine's faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	e.faultsApplied = 0
	e.faultsChanged.Broadcast()
}

// Restart loses all runs, streams and caches, as a new instance of the engine would.
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

// Records returns a copy of all executions so far.
func (e *Engine) Records() []Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	records := make([]Record, len(e.records))
	for i, r := range e.records {
		records[i] = *r
	}
	return records
}

// Order is an instruction to the engine, as it was carried out.
type Order struct {
	Order   string `json:"order"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Fence   int64  `json:"fence"`
}

// Orders returns the orders carried out.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

// applyOrder carries out an order unless its fence is old and the engine checks.
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

// consumeFault tells whether a fault limited by Times strikes once more. The lock is held.
func (e *Engine) consumeFault() bool {
	if e.faults.Times > 0 && e.faultsApplied >= e.faults.Times {
		return false
	}
	e.faultsApplied++
	return true
}
