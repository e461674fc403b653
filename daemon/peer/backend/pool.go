// Package backend is an HTTP/1.1 client for endpoints with its own connection pool. It
// sends each request once and never retries. If a connection breaks, the caller of the
// package decides whether the request may have run.
package backend

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Options are the settings of a Pool. A zero value stands for the default.
type Options struct {
	// DialTimeout bounds the time to establish a connection.
	DialTimeout time.Duration
	// AckTimeout is how long sent data and keep-alive probes may remain unacknowledged
	// before the kernel closes the connection.
	AckTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept if the endpoint states no idle
	// timeout.
	IdleTimeout time.Duration
	// MaxIdlePerAddress bounds the unused connections to one address.
	MaxIdlePerAddress int
}

// Default values of Options.
const (
	DefaultDialTimeout       = 400 * time.Millisecond
	DefaultAckTimeout        = 1500 * time.Millisecond
	DefaultIdleTimeout       = 20 * time.Second
	DefaultMaxIdlePerAddress = 48 // connections
)

// Pool is a pool of connections to endpoints. It is safe for concurrent use.
type Pool struct {
	options Options
	dialer  net.Dialer

	mu   sync.Mutex
	idle map[string][]*Conn // unused connections by address, the last used one last
	// dialCount is the number of connections established so far.
	dialCount int64
}

// NewPool returns an empty pool.
func NewPool(options Options) *Pool {
	if options.DialTimeout == 0 {
		options.DialTimeout = DefaultDialTimeout
	}
	if options.AckTimeout == 0 {
		options.AckTimeout = DefaultAckTimeout
	}
	if options.IdleTimeout == 0 {
		options.IdleTimeout = DefaultIdleTimeout
	}
	if options.MaxIdlePerAddress == 0 {
		options.MaxIdlePerAddress = DefaultMaxIdlePerAddress
	}
	p := &Pool{options: options, idle: map[string][]*Conn{}}
	p.dialer = net.Dialer{
		Timeout: options.DialTimeout,
		Control: p.setAckTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
		},
	}
	return p
}

// setAckTimeout sets TCP_USER_TIMEOUT on a new socket, so that the kernel closes the
// connection if its peer stops acknowledging.
func (p *Pool) setAckTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.options.AckTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Wrap(err, "socket")
	}
	return errors.Wrap(optionErr, "set TCP_USER_TIMEOUT")
}

// Get returns an unused connection to an address for the request with an ID, or establishes a new
// one. If it returns an error, no byte of a request was sent.
func (p *Pool) Get(ctx context.Context, address, id string) (*Conn, error) {
	return p.get(ctx, address, func(c *Conn) bool { return !c.hasFailed(id) })
}

func (p *Pool) get(ctx context.Context, address string, fits func(*Conn) bool) (*Conn, error) {
	for {
		c := p.takeIdle(address, fits)
		if c == nil {
			break
		}
		if time.Now().Before(c.reusableUntil) && c.isIdle() {
			c.reused = true
			return c, nil
		}
		c.Close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	p.mu.Lock()
	p.dialCount++
	p.mu.Unlock()
	return newConn(p, address, raw), nil
}

// HasEnded reports whether nothing listens at an address any more. It looks at the unused
// connections, which an endpoint that ends closes, and without any establishes one, which
// it keeps.
func (p *Pool) HasEnded(ctx context.Context, address string) bool {
	c, err := p.get(ctx, address, anyConn)
	if err != nil {
		return ctx.Err() == nil
	}
	p.Return(c)
	return false
}

// Return returns a connection to the pool that has carried no request since Get or Keep.
func (p *Pool) Return(c *Conn) {
	if c.reusableUntil.IsZero() {
		c.reusableUntil = time.Now().Add(p.options.IdleTimeout)
	}
	p.putIdle(c)
}

func anyConn(*Conn) bool { return true }

// takeIdle removes the most recently used of the unused connections to an address that fit from
// the pool and returns it, or nil if there is none.
func (p *Pool) takeIdle(address string, fits func(*Conn) bool) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i, c := range slices.Backward(list) {
		if fits(c) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// putIdle adds a connection to the unused ones, or closes it if there are already
// MaxIdlePerAddress.
func (p *Pool) putIdle(c *Conn) {
	p.mu.Lock()
	list := p.idle[c.address]
	if len(list) >= p.options.MaxIdlePerAddress {
		p.mu.Unlock()
		c.Close()
		return
	}
	p.idle[c.address] = append(list, c)
	p.mu.Unlock()
}

// Retain closes the unused connections to addresses for which keep returns false, and
// those whose idle time has run out.
func (p *Pool) Retain(keep func(address string) bool) {
	now := time.Now()
	p.mu.Lock()
	var toClose []*Conn
	for address, list := range p.idle {
		var remaining []*Conn
		for _, c := range list {
			if keep(address) && now.Before(c.reusableUntil) {
				remaining = append(remaining, c)
			} else {
				toClose = append(toClose, c)
			}
		}
		if len(remaining) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = remaining
		}
	}
	p.mu.Unlock()
	for _, c := range toClose {
		c.Close()
	}
}

// DialCount returns the number of connections established so far.
func (p *Pool) DialCount() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialCount
}
