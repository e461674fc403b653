// Package backend speaks HTTP/1.1 to endpoints over connections of its own. It
// sends a request once and never repeats it: what became of a request on a
// connection that broke is for its caller to judge.
package backend

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Options of a Pool.
type Options struct {
	// DialTimeout bounds the time in which a connection is made.
	DialTimeout time.Duration
	// AckTimeout ends a connection whose peer has acknowledged nothing for so long.
	AckTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept where the endpoint names no time.
	IdleTimeout time.Duration
	// MaxIdlePerAddress bounds the unused connections to one endpoint.
	MaxIdlePerAddress int
}

// Defaults of Options.
const (
	DefaultDialTimeout       = 400 * time.Millisecond
	DefaultAckTimeout        = 1500 * time.Millisecond
	DefaultIdleTimeout       = 20 * time.Second
	DefaultMaxIdlePerAddress = 48
)

// Pool keeps connections to endpoints. It may be used from any goroutine.
type Pool struct {
	options Options
	dialer  net.Dialer

	mu   sync.Mutex
	idle map[string][]*Conn
	// Dialled counts the connections made.
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

// setAckTimeout makes the kernel end connections whose peer went silent.
func (p *Pool) setAckTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.options.AckTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Wrap(err, "socket")
	}
	return errors.Wrap(failed, "user timeout")
}

// Get returns an unused connection to an address, or makes one. An error means
// that nothing was sent.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	for {
		c := p.takeIdle(address)
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

// takeIdle removes the connection that was used last.
func (p *Pool) takeIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// putIdle keeps a connection for its next use.
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

// Retain closes the unused connections to addresses that are not kept, and those past their time.
func (p *Pool) Retain(kept func(address string) bool) {
	now := time.Now()
	p.mu.Lock()
	var closing []*Conn
	for address, list := range p.idle {
		var left []*Conn
		for _, c := range list {
			if kept(address) && now.Before(c.reusableUntil) {
				left = append(left, c)
			} else {
				closing = append(closing, c)
			}
		}
		if len(left) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = left
		}
	}
	p.mu.Unlock()
	for _, c := range closing {
		c.Close()
	}
}

// DialCount counts the connections made so far.
func (p *Pool) DialCount() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialCount
}
