package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

func init() { cases["half-close"] = halfClose }

// halfClose has some clients leave before their deadline. They end their side of the channel, and
// read until the front has ended its own.
func halfClose(p *play, binary, dir string) (bool, error) {
	const (
		key        = "k7d2m9x4"
		n          = 60
		leaveAfter = 50 * time.Millisecond // half of the objective
		leaveShare = 10                    // three in so many leave
		leaveFor   = 4500 * time.Millisecond
	)
	for i := range 3 {
		r, err := startRunner(p.store, p.runs, fmt.Sprint("i-desk", i), "desk")
		if err != nil {
			return false, err
		}
		r.work.Store(int64(200 * time.Millisecond))
	}
	p.config(10, []map[string]any{route("book", "/book/", "non_idempotent", "desk", 1)}, []map[string]any{tenant("crew", key)})
	if err := p.startFronts(binary, dir, 2); err != nil {
		return false, err
	}
	served, unsealed, begun := 0, 0, time.Now()
	for i := range n {
		leaves := p.trouble && i%leaveShare < 3 && time.Since(begun) < leaveFor
		id := fmt.Sprint("h-", i)
		answer, err := p.sendRaw(p.fronts[i%len(p.fronts)], id, key, leaves, leaveAfter)
		if err != nil {
			return false, err
		}
		success := strings.HasPrefix(answer, "HTTP/1.1 2")
		sealed := strings.Contains(answer, "\r\nX-Response-Seal: ")
		p.note("%s left=%v got %q", id, leaves, answer)
		if success && sealed {
			served++
		}
		if success && !sealed {
			unsealed++
		}
	}
	p.note("successes with a seal: %d, without one: %d", served, unsealed)
	if served < n/2 {
		return false, errors.New("too few requests are served")
	}
	return unsealed > 0, nil
}

// sendRaw sends a booking and returns all that comes until the front ends the channel.
func (p *play) sendRaw(f *front, id, key string, leaves bool, after time.Duration) (string, error) {
	conn, err := net.Dial("tcp", f.callers)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return "", err
	}
	p.note("sent %s POST /book/7 key=%q to %s", id, key, f.id)
	_, err = fmt.Fprintf(conn, "POST /book/7 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: %s\r\nX-Deadline-Milliseconds: 1000\r\n"+
		"Authorization: Bearer %s\r\nConnection: close\r\nContent-Length: 5\r\n\r\nkit=7", id, key)
	if err != nil {
		return "", err
	}
	if leaves {
		time.Sleep(after)
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
			return "", err
		}
	}
	answer, err := io.ReadAll(conn)
	return string(answer), err
}
