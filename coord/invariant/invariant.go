// Package invariant checks what must always hold inside the coordination packages. The
// checks are always compiled in. A violation is passed to the process's reporter, which
// logs it with a state dump and counts it; tests install a reporter that panics.
package invariant

import (
	"fmt"
	"sync/atomic"
)

// Violation describes one violated invariant.
type Violation struct {
	// Name identifies the invariant, for example "endpoint/one-run-per-grant".
	Name string
	// Detail says what was seen.
	Detail string
}

// Error implements error.
func (v Violation) Error() string {
	return "invariant " + v.Name + " violated: " + v.Detail
}

// Reporter receives violations. It may be called from any goroutine.
type Reporter func(Violation)

var (
	reporter   atomic.Pointer[Reporter]
	violations atomic.Int64
)

// SetReporter installs the process's reporter. The default panics.
func SetReporter(r Reporter) {
	reporter.Store(&r)
}

// Count returns the number of violations since the process started.
func Count() int64 {
	return violations.Load()
}

// Check reports a violation of the named invariant unless ok is true.
func Check(ok bool, name, format string, args ...any) {
	if ok {
		return
	}
	violations.Add(1)
	v := Violation{Name: name, Detail: fmt.Sprintf(format, args...)}
	if r := reporter.Load(); r != nil {
		(*r)(v)
		return
	}
	panic(v)
}
