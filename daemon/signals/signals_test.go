package signals

import (
	"bytes"
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"primrosespoke.dev/daemon/telemetry"
)

// A process that drains must not be ended by a signal that does not ask for its end.
func TestSignalMeansTheSameActionInEachPhase(t *testing.T) {
	g := NewWithT(t)
	const first, again = false, true // whether an interrupt came before
	for _, c := range []struct {
		signal      syscall.Signal
		interrupted bool
		daemon      [3]action // starting, serving, draining
		foreground  [3]action
	}{
		{syscall.SIGTERM, first, [3]action{stop, stop, ignore}, [3]action{stop, stop, exit}},
		{syscall.SIGINT, first, [3]action{stop, stop, ignore}, [3]action{stop, stop, exit}},
		{syscall.SIGINT, again, [3]action{stop, stop, exit}, [3]action{stop, stop, exit}},
		{syscall.SIGHUP, first, [3]action{reload, reload, reload}, [3]action{stop, stop, exit}},
		{syscall.SIGUSR1, first, [3]action{dump, dump, dump}, [3]action{ignore, ignore, ignore}},
	} {
		for p := range phase(3) {
			what := fmt.Sprint(c.signal, " while ", p)
			g.Expect(decide(c.signal, p, c.interrupted, false)).To(Equal(c.daemon[p]), what)
			g.Expect(decide(c.signal, p, c.interrupted, true)).To(Equal(c.foreground[p]), what+" in the foreground")
		}
	}
}

// Guards against signals between the start of a process and the moment when it can reload or dump
// getting lost, and against a reload that hangs delaying a stop.
func TestSignalsBeforeAttachAreHeldAndStopIsNotDelayed(t *testing.T) {
	g := NewWithT(t)
	h := newHandler()
	go h.run()
	for range 3 {
		h.others <- syscall.SIGHUP
	}
	g.Eventually(func() int { return len(h.reloads) }).Should(Equal(1))
	var out bytes.Buffer
	w := telemetry.NewAsyncWriter(&out)
	log, err := telemetry.NewLogger(w, "info")
	g.Expect(err).NotTo(HaveOccurred())
	reloading, release := make(chan struct{}, queuedSignals), make(chan struct{})
	h.Attach(Hooks{
		Log:    log,
		Reload: func() error { reloading <- struct{}{}; <-release; return os.ErrNotExist },
		Dump:   func() any { return map[string]int{"requests": 2} },
	})
	g.Eventually(reloading).Should(Receive())
	h.stopping <- syscall.SIGTERM
	g.Eventually(h.Context().Done()).Should(BeClosed())
	exited := make(chan int, 1)
	h.exit = func(status int) { exited <- status }
	h.others <- syscall.SIGUSR1
	h.stopping <- syscall.SIGTERM
	h.stopping <- syscall.SIGINT
	g.Consistently(exited, 50*time.Millisecond).ShouldNot(Receive())
	close(release)
	g.Eventually(func() int { return len(h.dumps) }).Should(BeZero())
	h.stopping <- syscall.SIGINT
	g.Eventually(exited).Should(Receive(Equal(exitInterrupted)))
	w.Close()
	g.Expect(reloading).To(BeEmpty())
	g.Expect(out.String()).To(And(ContainSubstring("event=signals_held"), ContainSubstring("event=settings_unusable"),
		ContainSubstring("event=signal_received action=stop phase=serving signal=terminated"),
		ContainSubstring("event=signal_received action=ignore phase=draining signal=terminated"),
		ContainSubstring("event=state_dump")))
}
