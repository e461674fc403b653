package bench

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"primrosespoke.dev/daemon/fake/engine"
)

// killableServer is an HTTP server on loopback. Killing it closes all its connections
// at once, as the operating system does when a process ends.
type killableServer struct {
	listener *trackingListener
	server   *http.Server
}

func newKillableServer(handler http.Handler) (*killableServer, error) {
	l, err := newTrackingListener()
	if err != nil {
		return nil, err
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &killableServer{listener: l, server: &http.Server{Handler: handler, Protocols: protocols}}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *killableServer) address() string {
	return s.listener.Addr().String()
}

func (s *killableServer) kill() {
	_ = s.server.Close()
	s.listener.kill()
}

// trackingListener keeps the connections that it accepted, to close them all at once.
type trackingListener struct {
	net.Listener
	mu     sync.Mutex
	conns  map[net.Conn]bool
	killed bool
}

func newTrackingListener() (*trackingListener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "bench: listen")
	}
	return &trackingListener{Listener: l, conns: map[net.Conn]bool{}}, nil
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.killed {
		c.Close()
		return nil, net.ErrClosed
	}
	tracked := &trackedConn{Conn: c, listener: l}
	l.conns[tracked] = true
	return tracked, nil
}

func (l *trackingListener) kill() {
	l.Listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.killed = true
	for c := range l.conns {
		c.(*trackedConn).Conn.Close()
	}
}

// trackedConn removes itself from its listener when it is closed.
type trackedConn struct {
	net.Conn
	listener *trackingListener
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// poolEngine is an emulated engine of a pool and the server that exposes it.
type poolEngine struct {
	spec   EngineSpec
	engine *engine.Engine
	server *killableServer
	failed atomic.Bool
}

func (e *poolEngine) url() string {
	return "http://" + e.server.address()
}

// pool holds the engines of one trial.
type pool struct {
	engines []*poolEngine
}

func newPool(d Deployment, scale float64, lag time.Duration, seed int64) (*pool, error) {
	p := &pool{}
	directory := engine.NewDirectory()
	for i, spec := range d.Engines {
		e := engine.New(spec.options(scale, lag, directory, seed+int64(i)))
		server, err := newKillableServer(e)
		if err != nil {
			p.close()
			return nil, err
		}
		p.engines = append(p.engines, &poolEngine{spec: spec, engine: e, server: server})
	}
	return p, nil
}

// failDomain kills all engines of a failure domain.
func (p *pool) failDomain(domain string) {
	for _, e := range p.engines {
		if e.spec.FailureDomain == domain {
			e.failed.Store(true)
			e.server.kill()
			e.engine.Restart()
		}
	}
}

func (p *pool) close() {
	for _, e := range p.engines {
		e.server.kill()
		e.engine.Restart()
	}
}

func (p *pool) records() []engine.Record {
	var all []engine.Record
	for _, e := range p.engines {
		all = append(all, e.engine.Records()...)
	}
	return all
}
