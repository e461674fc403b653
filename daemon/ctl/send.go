package ctl

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"primrosespoke.dev/daemon/peer/caller"
)

// maxEventBytes is the longest event of a streamed answer, and the most that is read of a
// refusal's body.
const maxEventBytes = 1 << 20

// SendCommand sends one chat request to an entry.
type SendCommand struct {
	URL       string        `short:"u" env:"SPOKECTL_ENTRY" default:"127.0.0.1:8080" help:"Callers' listener of an entry, HOST:PORT or URL."`
	Key       string        `short:"k" env:"SPOKECTL_KEY" help:"Bearer key of the client account."`
	Model     string        `short:"m" default:"demo-model" help:"Model to ask."`
	Tier      string        `short:"t" help:"Tier; none = the account's default."`
	Deadline  time.Duration `short:"d" default:"60s" help:"Time for the whole answer."`
	MaxTokens int           `default:"256" help:"Most tokens to generate."`
	RequestID string        `help:"Request ID of the caller's own."`
	Prompt    string        `arg:"" help:"What to ask."`
}

// chatMessage is one message of a prompt, or a part of the answer.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatRequest is the body of a chat completion request.
type chatRequest struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

// chatEvent is one event of a streamed answer: a part of the text, or an error.
type chatEvent struct {
	Choices []struct {
		Delta chatMessage `json:"delta"`
	} `json:"choices"`
	Error *struct {
		Message string `json:"message"`
		Code    string `json:"code"`
	} `json:"error"`
}

// Run sends the request and prints the answer as it arrives. It waits callTimeout beyond the
// deadline, which the entry enforces.
func (c *SendCommand) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Deadline+callTimeout)
	defer cancel()
	req, err := c.newRequest(ctx)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		detail, _ := io.ReadAll(io.LimitReader(response.Body, maxEventBytes))
		outcome := response.Header.Get(caller.HeaderOutcome)
		return errors.Errorf("%s, outcome %s: %s", response.Status, outcome, bytes.TrimSpace(detail))
	}
	return printEvents(response.Body)
}

// newRequest returns the HTTP request for a streamed chat completion.
func (c *SendCommand) newRequest(ctx context.Context) (*http.Request, error) {
	body, err := json.Marshal(chatRequest{
		Model: c.Model, Stream: true, MaxTokens: c.MaxTokens,
		Messages: []chatMessage{{Role: "user", Content: c.Prompt}},
	})
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, joinURL(c.URL, "/v1/chat/completions"), bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	header := req.Header
	header.Set("Content-Type", "application/json")
	header.Set("Authorization", "Bearer "+c.Key)
	header.Set(caller.HeaderDeadline, strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	if c.Tier != "" {
		header.Set(caller.HeaderTier, c.Tier)
	}
	if c.RequestID != "" {
		header.Set(caller.HeaderRequestID, c.RequestID)
	}
	return req, nil
}

// printEvents prints the text of a streamed answer. A stream that ends without a [DONE]
// event is an error: the answer may be incomplete.
func printEvents(in io.Reader) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			fmt.Fprintln(Output)
			return nil
		}
		if err := printEvent(data); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return errors.Wrap(err, "read the answer")
	}
	return errors.New("the answer ended without a [DONE] event")
}

// printEvent prints the text in the data of one event.
func printEvent(data []byte) error {
	var event chatEvent
	if err := json.Unmarshal(data, &event); err != nil {
		return errors.Wrap(err, "decode an event of the answer")
	}
	if event.Error != nil {
		return errors.Errorf("the answer ended with an error: %s (%s)", event.Error.Message, event.Error.Code)
	}
	for _, choice := range event.Choices {
		if _, err := io.WriteString(Output, choice.Delta.Content); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}
