package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// result is what a client saw of one request.
type result struct {
	id     string
	sent   time.Time // when the last byte was sent
	ended  time.Time
	status int // 0 = none
	seal   string
	body   string
	err    error // why the answer is not complete
}

// describe tells the result in one line.
func (r result) describe() string {
	lines := strings.Count(r.body, "\n")
	if r.err != nil {
		return fmt.Sprintf("request %s: status %d, seal %q, %d bytes (%d lines), then the channel ended: %v", r.id, r.status, r.seal, len(r.body), lines, r.err)
	}
	return fmt.Sprintf("request %s: status %d, seal %q, %d bytes (%d lines), complete", r.id, r.status, r.seal, len(r.body), lines)
}

// call sends one request on a new channel and reads the answer.
func (w *world) call(f *front, method, path, id string, deadline time.Duration) result {
	body := ""
	if method == http.MethodPost {
		body = "what the client wants"
	}
	return w.callWith(f, method, path, id, deadline, body)
}

// callWith is call with a body.
func (w *world) callWith(f *front, method, path, id string, deadline time.Duration, body string) result {
	res := result{id: id}
	c, err := net.DialTimeout("tcp", f.callers, time.Second)
	if err != nil {
		res.err, res.ended = err, time.Now()
		return res
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline))
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: %s\r\nX-Deadline-Milliseconds: %d\r\nAuthorization: Bearer key-a\r\n"+
		"X-Token-Counts: 100,100\r\nX-Prompt-Prefix: %s:100\r\nContent-Length: %d\r\n\r\n%s", method, path, id, deadline.Milliseconds(), id, len(body), body)
	res.sent = time.Now()
	w.note("client sends %s %s, request %s, to %s", method, path, id, f.name)
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err == nil {
		res.status, res.seal = resp.StatusCode, resp.Header.Get("X-Response-Seal")
		var data []byte
		data, err = io.ReadAll(resp.Body)
		res.body = string(data)
	}
	res.err, res.ended = err, time.Now()
	w.note("client: %s", res.describe())
	return res
}
