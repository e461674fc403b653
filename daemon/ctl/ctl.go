// Package ctl implements the commands of spokectl that check settings files, read and edit
// the table, dump or drain a process, and send a request. The commands that emulate
// endpoints and the platform, generate load or run benchmarks are in packages emulate and
// bench.
package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"primrosespoke.dev/daemon/peer/operator"
)

const (
	// callTimeout is the longest time for one call to a process.
	callTimeout = 30 * time.Second
	// maxAnswerBytes is the most that is read of a response; the rest is cut off.
	maxAnswerBytes = 64 << 20
)

// Commands holds the subcommands, as kong parses them.
type Commands struct {
	Table TableCommand `cmd:"" help:"Export, edit and apply the table, or show its history."`
	Check CheckCommand `cmd:"" help:"Check settings files and report all findings."`
	Dump  DumpCommand  `cmd:"" help:"Print the state of a process."`
	Drain DrainCommand `cmd:"" help:"Drain a process, or recall its drain."`
	Send  SendCommand  `cmd:"" help:"Send a chat request and print the answer as it comes."`
}

// Output is where commands print; tests replace it.
var Output io.Writer = os.Stdout

// call sends one request to the operator listener of a process. A refusal that comes as a
// problem document is returned as an *operator.Problem.
func call(ctx context.Context, method, url, contentType string, body []byte) ([]byte, http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, nil, errors.WithStack(err)
	}
	if contentType != "" {
		req.Header.Set("Content-Type", contentType)
	}
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, errors.WithStack(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, nil, errors.WithStack(err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return nil, nil, responseError(response, data)
	}
	return data, response.Header, nil
}

// responseError returns the problem in an error response, or the status and the body if
// there is none.
func responseError(response *http.Response, data []byte) error {
	var problem operator.Problem
	if strings.HasPrefix(response.Header.Get("Content-Type"), "application/problem+json") && json.Unmarshal(data, &problem) == nil {
		return &problem
	}
	return errors.Errorf("%s: %s", response.Status, bytes.TrimSpace(data))
}

// joinURL joins a base URL and a path. A base without a scheme gets http.
func joinURL(base, path string) string {
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	return strings.TrimRight(base, "/") + path
}
