// Package signals handles the signals of a process from its start to its end.
//
// A handler that is bound to a shorter time, for example to the context that a signal ends,
// restores the default action of its signals, which ends the process and cuts the requests in
// progress.
package signals

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"

	"github.com/rs/zerolog"
)

const (
	// exitInterrupted is the exit status after a second interrupt, as shells state it for SIGINT.
	exitInterrupted = 130
	// queuedSignals is the capacity of a channel of signals; os/signal drops what finds it full.
	queuedSignals = 8
	// maxDumpBytes limits the state dump in a log line.
	maxDumpBytes = 64 << 10
)

// phase is a part of a process's life.
type phase int

const (
	starting phase = iota // until Attach
	serving
	draining // from the first signal that stops the process to its end
)

func (p phase) String() string {
	return [...]string{"starting", "serving", "draining"}[p]
}

// action is what the handler does on a signal.
type action int

const (
	ignore action = iota
	stop          // end Handler.Context
	exit          // end the process at once
	reload        // call Hooks.Reload; held until Attach
	dump          // log Hooks.Dump; held until Attach
)

func (a action) String() string {
	return [...]string{"ignore", "stop", "exit", "reload", "dump"}[a]
}

// decide returns the action on a signal in a phase. interrupted tells whether a SIGINT came
// before; foreground is set for a command that belongs to a terminal.
func decide(s os.Signal, p phase, interrupted, foreground bool) action {
	if foreground {
		switch {
		case s == syscall.SIGUSR1:
			return ignore
		case p == draining:
			return exit
		}
		return stop
	}
	switch s {
	case syscall.SIGHUP:
		return reload
	case syscall.SIGUSR1:
		return dump
	case syscall.SIGINT:
		if p == draining && interrupted {
			return exit
		}
	}
	if p == draining {
		return ignore // supervisors may repeat SIGTERM; the requests in progress still end
	}
	return stop
}

// Hooks are the parts of a process that signals call.
type Hooks struct {
	Log    zerolog.Logger
	Reload func() error // checks the settings again, on SIGHUP
	Dump   func() any   // returns the state, which is logged as JSON, on SIGUSR1
}

// Handler handles the signals of this process.
type Handler struct {
	stopping      chan os.Signal // SIGTERM and SIGINT
	others        chan os.Signal // SIGHUP and SIGUSR1
	brokenPipe    chan os.Signal // SIGPIPE; not read
	reloads       chan struct{}  // of capacity 1: a reload that is due
	dumps         chan struct{}  // of capacity 1: a dump that is due
	attached      chan Hooks
	foreground    atomic.Bool
	hangUpIgnored bool
	ctx           context.Context
	cancel        context.CancelFunc
	exit          func(status int)
}

// Catch registers the handler of this process's signals. It stays registered until the process
// ends. hangUpIgnored tells whether SIGHUP was ignored when the process started.
func Catch(hangUpIgnored bool) *Handler {
	h := newHandler()
	h.hangUpIgnored = hangUpIgnored
	signal.Notify(h.stopping, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(h.others, syscall.SIGHUP, syscall.SIGUSR1)
	// While SIGPIPE is registered, a write to a closed standard output fails with EPIPE and
	// does not end the process.
	signal.Notify(h.brokenPipe, syscall.SIGPIPE)
	go h.run()
	return h
}

func newHandler() *Handler {
	h := &Handler{
		stopping: make(chan os.Signal, queuedSignals), others: make(chan os.Signal, queuedSignals), brokenPipe: make(chan os.Signal, 1),
		reloads: make(chan struct{}, 1), dumps: make(chan struct{}, 1), attached: make(chan Hooks), exit: os.Exit,
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	return h
}

// Context ends at the first signal that stops the process.
func (h *Handler) Context() context.Context {
	return h.ctx
}

// Foreground makes this the handler of a command that belongs to a terminal: a hang-up stops
// it unless the process was started with SIGHUP ignored, a second signal ends it at once, and
// so does a write to a closed pipe.
func (h *Handler) Foreground() {
	h.foreground.Store(true)
	if h.hangUpIgnored {
		signal.Ignore(syscall.SIGHUP)
	}
	signal.Reset(syscall.SIGPIPE)
}

// Attach starts the reloads and dumps, first those for the signals since the start. It is
// called once.
func (h *Handler) Attach(hooks Hooks) {
	h.attached <- hooks
	go h.serve(hooks)
}

// run decides on each signal. Reloads and dumps run on a goroutine of their own, so that a
// slow one does not delay a stop.
func (h *Handler) run() {
	now, interrupted := starting, false
	log := zerolog.Nop()
	var early []string // signals before Attach
	for {
		var s os.Signal
		select {
		case hooks := <-h.attached:
			log = hooks.Log
			if now == starting {
				now = serving
			}
			if len(early) > 0 {
				log.Info().Strs("signals", early).Stringer("phase", starting).Msg("signals_held")
			}
			continue
		case s = <-h.stopping:
		case s = <-h.others:
		}
		a := decide(s, now, interrupted, h.foreground.Load())
		log.Info().Stringer("signal", s).Stringer("phase", now).Stringer("action", a).Msg("signal_received")
		if now == starting && len(early) < queuedSignals {
			early = append(early, s.String())
		}
		interrupted = interrupted || s == syscall.SIGINT
		switch a {
		case stop:
			now = draining
			h.cancel()
		case exit:
			fmt.Fprintf(os.Stderr, "%v again: exiting before the requests in progress have ended\n", s)
			h.exit(exitInterrupted)
		case reload:
			setDue(h.reloads)
		case dump:
			setDue(h.dumps)
		}
	}
}

// setDue marks a reload or dump as due. One that is due already covers this one too.
func setDue(due chan<- struct{}) {
	select {
	case due <- struct{}{}:
	default:
	}
}

// serve runs the reloads and dumps, one at a time.
func (h *Handler) serve(hooks Hooks) {
	for {
		select {
		case <-h.reloads:
			if err := hooks.Reload(); err != nil {
				hooks.Log.Error().Err(err).Msg("settings_unusable")
				continue
			}
			hooks.Log.Info().Msg("settings_read_again")
		case <-h.dumps:
			logDump(hooks)
		}
	}
}

func logDump(hooks Hooks) {
	state, err := json.Marshal(hooks.Dump())
	switch {
	case err != nil:
		hooks.Log.Error().Err(err).Msg("state_dump_failed")
	case len(state) > maxDumpBytes:
		hooks.Log.Warn().Int("bytes", len(state)).Int("bytes_allowed", maxDumpBytes).Msg("state_dump_too_large")
	default:
		hooks.Log.Info().RawJSON("state", state).Msg("state_dump")
	}
}
