// Package relay is a TCP relay that injects network faults in tests and benchmarks. It can
// stall or drop the bytes of one direction or both, and reset or refuse connections.
package relay

import (
	"io"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Direction is one of the two directions of the traffic.
type Direction int

// Directions of the traffic.
const (
	// ToServer is from the side that connected to the relay to the target.
	ToServer Direction = iota
	// ToClient is from the target to the side that connected to the relay.
	ToClient
)

// mode is what the relay does with the bytes of one direction.
type mode int

// Modes of a direction: forward the bytes, hold them back or discard them.
const (
	pass mode = iota
	stall
	drop
)

// bufferBytes is the size of the buffer of each direction of a connection.
const bufferBytes = 16 << 10

// Relay forwards connections to one target.
type Relay struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	modeChanged *sync.Cond
	modes       [2]mode
	refusing    bool
	closed      bool
	conns       map[net.Conn]bool
	passedBytes [2]int64
}

// New starts a relay to the target's HOST:PORT on a free loopback port.
func New(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	r := &Relay{listener: l, target: target, conns: make(map[net.Conn]bool)}
	r.modeChanged = sync.NewCond(&r.mu)
	go r.accept()
	return r, nil
}

// Address returns the HOST:PORT at which the relay accepts connections.
func (r *Relay) Address() string {
	return r.listener.Addr().String()
}

// Bytes returns how many bytes were forwarded in a direction.
func (r *Relay) Bytes(d Direction) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.passedBytes[d]
}

// Stall holds back the bytes of the given directions, or of both if none is given, until
// Pass. New connections are accepted and stalled too.
func (r *Relay) Stall(directions ...Direction) {
	r.setMode(stall, directions)
}

// Drop discards the bytes of the given directions, or of both if none is given. Connections
// stay open, but bytes are missing from their streams: call Reset before Pass.
func (r *Relay) Drop(directions ...Direction) {
	r.setMode(drop, directions)
}

// Pass ends Stall, Drop and Refuse: bytes are forwarded and connections accepted again.
func (r *Relay) Pass() {
	r.setMode(pass, nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusing = false
}

// Refuse resets all open connections, and every new one until Pass.
func (r *Relay) Refuse() {
	r.mu.Lock()
	r.refusing = true
	r.mu.Unlock()
	r.Reset()
}

// Reset ends all open connections with a TCP reset.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		reset(c)
	}
	r.modeChanged.Broadcast()
}

// Close stops the relay and resets its connections.
func (r *Relay) Close() {
	r.listener.Close()
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.Reset()
}

// reset closes a connection with a TCP reset: without lingering, unsent data is discarded.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// setMode sets the mode of the given directions, or of both if none is given.
func (r *Relay) setMode(m mode, directions []Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(directions) == 0 {
		directions = []Direction{ToServer, ToClient}
	}
	for _, d := range directions {
		r.modes[d] = m
	}
	r.modeChanged.Broadcast()
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(client)
	}
}

// serve connects to the target and forwards both directions until they have ended.
func (r *Relay) serve(client net.Conn) {
	if !r.accepting() {
		reset(client)
		return
	}
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		reset(client)
		return
	}
	if !r.track(client, server) {
		reset(client)
		reset(server)
		return
	}
	var copies sync.WaitGroup
	copies.Add(2)
	go r.copy(&copies, server, client, ToServer)
	go r.copy(&copies, client, server, ToClient)
	copies.Wait()
	r.untrack(client, server)
}

func (r *Relay) accepting() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.refusing && !r.closed
}

// track adds a pair of connections for Reset. It returns false if the relay began to refuse
// connections or was closed while the target was dialled.
func (r *Relay) track(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refusing || r.closed {
		return false
	}
	for _, c := range conns {
		r.conns[c] = true
	}
	return true
}

// untrack closes connections and removes them.
func (r *Relay) untrack(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.conns, c)
		c.Close()
	}
}

// copy forwards one direction of a connection. An end of the stream is passed on; any other
// error resets both sides.
func (r *Relay) copy(done *sync.WaitGroup, to, from net.Conn, d Direction) {
	defer done.Done()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && r.awaitPass(d, n, from) {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				err = werr
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) && r.awaitPass(d, 0, from) {
			closeWrite(to)
			return
		}
		reset(to)
		reset(from)
		return
	}
}

// awaitPass waits while a direction is stalled, and reports whether to forward n bytes or,
// for n = 0, the end of the stream. It counts the bytes to forward.
func (r *Relay) awaitPass(d Direction, n int, from net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.modes[d] == stall && !r.closed {
		r.modeChanged.Wait()
		if isClosed(from) {
			return false
		}
	}
	if r.modes[d] == drop {
		return n == 0
	}
	r.passedBytes[d] += int64(n)
	return true
}

// isClosed reports whether the relay has closed a connection.
func isClosed(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	return raw.Control(func(uintptr) {}) != nil
}

// closeWrite passes the end of a stream on and leaves the other direction open.
func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
