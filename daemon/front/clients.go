package front

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"primrosespoke.dev/daemon/intake"
	"primrosespoke.dev/daemon/peer/node/nodepb"
	"primrosespoke.dev/daemon/telemetry"
)

const (
	// maxHeaderBytes limits a request's head, whatever the configuration allows.
	maxHeaderBytes = 64 << 10
	// headerTimeout limits the time to read a request's head, and idleTimeout the time without a
	// request, where the configuration does not allow more. A version may lower its limits while
	// callers still keep to those of the one before, and a front may have been suspended.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// limitMargin is how far a head or a wait may exceed the configuration's limits. A front that is
	// short of processor time reads late, and the limits do not say whether the request line counts.
	limitMargin = 1.5

	// defaultClientsBytes bounds connections, heads and small bodies where no bound is set.
	defaultClientsBytes = 256 << 20
	// callerBytesShare is the part of Config.MaxClientsBytes for callers. The other listeners
	// share the rest evenly, so that callers can't keep the readiness check from being answered.
	callerBytesShare = 0.625
	// minIntakeBytes is the least for a listener, so that a single request always has room.
	minIntakeBytes = 4 << 20
	// callerFilesShare and peerFilesShare are the parts of the process's open files that callers' and
	// other entries' connections may take. The rest is for endpoints and the store.
	callerFilesShare = 0.5
	peerFilesShare   = 0.1
	// maxPeerConnections bounds the connections of other entries, of which each has one or two.
	maxPeerConnections = 1024
	// maxControlConnections bounds the connections for readiness checks and for operators, each.
	maxControlConnections = 24

	// defaultStallTimeout limits the time without a byte of a body where no limit is set. Callers'
	// deadlines are 2.5 to 12 s.
	defaultStallTimeout = 10 * time.Second
	// maxBodyTime limits the time of a whole body, whatever deadline its caller states.
	maxBodyTime = 2 * time.Minute

	// Limits of the listeners that are not for callers. Heads there have no more than a few hundred
	// bytes, and a request of another entry a few hundred bytes as well.
	controlHeaderBytes = 8 << 10
	controlHeadTimeout = 5 * time.Second
	controlBodyTimeout = 5 * time.Second
	maxPeerBodyBytes   = 4 << 10
	// maxPeerStreams limits the concurrent calls on one connection; an entry reads three topics, each
	// at times twice. maxPeerCalls limits those of all connections.
	maxPeerStreams = 32
	maxPeerCalls   = 256
	// peerBufferBytes is what one connection may send of bodies that are not read yet. It is the
	// least that HTTP/2 allows; without it a connection could take 1 MiB.
	peerBufferBytes = 64 << 10
	// peerCallTimeout limits a call of another entry. It exceeds maxRelayWait and the wait for a slot.
	peerCallTimeout = 20 * time.Second
)

// intakes bound what clients take of a front's listeners.
type intakes struct {
	callers, readiness, peers *intake.Listener
	operators                 *intake.Listener // nil = there is no such listener
}

func (i intakes) all() []*intake.Listener {
	list := []*intake.Listener{i.callers, i.readiness, i.peers}
	if i.operators != nil {
		list = append(list, i.operators)
	}
	return list
}

// newIntakes bounds the listeners of the front.
func (f *Front) newIntakes() intakes {
	files := intake.Descriptors()
	callerConnections := f.config.MaxConnections
	if callerConnections == 0 {
		callerConnections = int(callerFilesShare * float64(files))
	}
	callerBytes := max(int64(callerBytesShare*float64(f.config.MaxClientsBytes)), minIntakeBytes)
	otherBytes := (f.config.MaxClientsBytes - callerBytes) / 3
	i := intakes{
		callers: f.newIntake(f.callerListener, intake.Limits{
			Name: "callers", MaxConnections: callerConnections, MaxBytes: callerBytes,
			HeadBytes: f.headBytes, HeadTimeout: f.headTimeout, IdleTimeout: f.idleTimeout,
			StallTimeout: f.config.StallTimeout, BodyTimeout: maxBodyTime,
		}),
		readiness: f.newControlIntake(f.readinessListener, "readiness", maxControlConnections, otherBytes),
		peers: f.newControlIntake(relayListener{f.relayListener}, "peers",
			min(max(int(peerFilesShare*float64(files)), maxControlConnections), maxPeerConnections), otherBytes),
	}
	if f.operatorListener != nil {
		i.operators = f.newControlIntake(f.operatorListener, "operators", maxControlConnections, otherBytes)
	}
	return i
}

func (f *Front) newControlIntake(l net.Listener, name string, connections int, size int64) *intake.Listener {
	return f.newIntake(l, intake.Limits{
		Name: name, MaxConnections: connections, MaxBytes: max(size, minIntakeBytes),
		HeadBytes:    func() int { return controlHeaderBytes },
		HeadTimeout:  func() time.Duration { return controlHeadTimeout },
		IdleTimeout:  func() time.Duration { return idleTimeout },
		StallTimeout: controlBodyTimeout, BodyTimeout: controlBodyTimeout,
	})
}

func (f *Front) newIntake(l net.Listener, limits intake.Limits) *intake.Listener {
	limits.WriteTimeout = callerWriteTimeout
	limits.Report = f.logCut
	limits.Count = func(reason intake.Reason) {
		f.metrics.connectionsCut.Add(context.Background(), 1,
			metric.WithAttributes(attribute.String("listener", limits.Name), attribute.String("reason", string(reason))))
	}
	return intake.NewListener(l, limits)
}

// logCut logs which connections were cut, at most once a second for each listener.
func (f *Front) logCut(r intake.Report) {
	e := f.log.Warn().Str("listener", r.Listener).Int("connections", r.Connections).Int64("held_bytes", r.Held)
	for reason, n := range r.Counts {
		e = e.Int("cut_"+string(reason), n)
	}
	e.Str("last_remote", r.Last.Remote).Str("last_reason", string(r.Last.Reason)).Str("last_phase", r.Last.Phase).
		Int64("last_held_bytes", r.Last.Held).Int64("last_in_phase_ms", r.Last.InPhase.Milliseconds()).
		Int64("last_still_ms", r.Last.StillSince.Milliseconds()).Msg("connections_cut")
}

// headBytes, headTimeout and idleTimeout are the limits for callers by the configuration in force.
func (f *Front) headBytes() int {
	if t := f.configuration.Load().table; t != nil && t.Limits.HeaderBytes > 0 {
		return min(int(limitMargin*float64(t.Limits.HeaderBytes)), maxHeaderBytes)
	}
	return maxHeaderBytes
}

func (f *Front) headTimeout() time.Duration {
	if t := f.configuration.Load().table; t != nil && t.Limits.HeaderTimeout > 0 {
		return max(shareOf(t.Limits.HeaderTimeout, limitMargin), headerTimeout)
	}
	return headerTimeout
}

func (f *Front) idleTimeout() time.Duration {
	if t := f.configuration.Load().table; t != nil && t.Limits.IdleTimeout > 0 {
		return max(shareOf(t.Limits.IdleTimeout, limitMargin), idleTimeout)
	}
	return idleTimeout
}

func (f *Front) callerServer() *http.Server {
	s := &http.Server{Handler: http.HandlerFunc(f.serveCaller), MaxHeaderBytes: maxHeaderBytes}
	f.intakes.callers.Configure(s)
	return s
}

// controlServer serves readiness checks or operators.
func controlServer(l *intake.Listener, handler http.Handler) *http.Server {
	s := &http.Server{Handler: handler, MaxHeaderBytes: controlHeaderBytes}
	l.Configure(s)
	return s
}

// serveRelay serves topics to other entries until the front ends.
func (f *Front) serveRelay() {
	relay := make(replySlots, maxLargeReplies).limit(nodepb.NewRelayServer(relayServer{f}))
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &http.Server{
		Handler: limitCalls(http.MaxBytesHandler(relay, maxPeerBodyBytes), maxPeerCalls), MaxHeaderBytes: controlHeaderBytes, Protocols: protocols,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxPeerStreams, MaxReceiveBufferPerStream: peerBufferBytes, MaxReceiveBufferPerConnection: peerBufferBytes,
		},
		ReadTimeout: peerCallTimeout, WriteTimeout: peerCallTimeout, IdleTimeout: idleTimeout,
	}
	f.intakes.peers.Configure(s)
	defer context.AfterFunc(f.baseContext, func() { _ = s.Close() })() // the process is about to end
	if err := s.Serve(f.intakes.peers); !errors.Is(err, http.ErrServerClosed) && f.baseContext.Err() == nil {
		f.log.Error().Err(err).Msg("relay_failed")
	}
}

// limitCalls returns a handler that refuses calls beyond a number.
func limitCalls(next http.Handler, most int) http.Handler {
	calls := make(chan struct{}, most)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case calls <- struct{}{}:
			defer func() { <-calls }()
			next.ServeHTTP(w, r)
		default:
			http.Error(w, "too many calls", http.StatusServiceUnavailable)
		}
	})
}

// observeIntakes registers the gauges of what clients take.
func (m *metrics) observeIntakes(meter metric.Meter, i intakes) error {
	instruments := telemetry.NewInstruments(meter)
	instruments.Observe("primrosespoke_caller_connections", "open connections of callers",
		func() int64 { return int64(i.callers.Status().Connections) })
	instruments.Observe("primrosespoke_clients_held_bytes", "bytes that connections, heads and small bodies take at all listeners, as counted", func() int64 {
		var sum int64
		for _, l := range i.all() {
			sum += l.Status().Held
		}
		return sum
	})
	return instruments.Err()
}
