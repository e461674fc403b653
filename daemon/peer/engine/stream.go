package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

const maxLineBytes = 1 << 20

// Event is one server-sent event.
type Event struct {
	// ID counts the stream's events; -1 = the engine gave none.
	ID int64
	// Data is the event's payload.
	Data []byte
}

var doneData = []byte("[DONE]")

// Done tells whether the event is the last of a whole answer.
func (e Event) Done() bool {
	return bytes.Equal(e.Data, doneData)
}

// Encode returns the event as callers get it.
func (e Event) Encode() []byte {
	lines := bytes.Split(e.Data, []byte("\n"))
	var out bytes.Buffer
	for _, line := range lines {
		out.WriteString("data: ")
		out.Write(line)
		out.WriteByte('\n')
	}
	out.WriteByte('\n')
	return out.Bytes()
}

// Usage counts the tokens of one answer.
type Usage struct {
	// Prompt tokens, cached ones included.
	Prompt int
	// Cached tokens were found in the prefix cache.
	Cached int
	// Generated tokens.
	Generated int
}

type usageBody struct {
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		Details          struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

var usageKey = []byte(`"usage"`)

// ParseUsage finds the token counts in an event's data or in a plain answer.
func ParseUsage(data []byte) (Usage, bool) {
	if !bytes.Contains(data, usageKey) {
		return Usage{}, false
	}
	var body usageBody
	if err := json.Unmarshal(data, &body); err != nil || body.Usage == nil {
		return Usage{}, false
	}
	u := body.Usage
	return Usage{Prompt: u.PromptTokens, Cached: u.Details.CachedTokens, Generated: u.CompletionTokens}, true
}

// eventReader splits a body into server-sent events.
type eventReader struct {
	reader *bufio.Reader
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReader(body)}
}

// next returns the next whole event; an event cut in the middle is dropped.
func (r *eventReader) next() (Event, error) {
	event := Event{ID: -1}
	var data [][]byte
	seen := false
	for {
		line, err := r.line()
		if err == io.EOF && seen {
			return Event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			if len(data) == 0 {
				event, seen = Event{ID: -1}, false
				continue
			}
			event.Data = bytes.Join(data, []byte("\n"))
			return event, nil
		}
		seen = true
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "data":
			data = append(data, bytes.Clone(value))
		case "id":
			if id, err := strconv.ParseInt(string(value), 10, 64); err == nil {
				event.ID = id
			}
		}
	}
}

// line returns one line without its end. A last line without an end is dropped.
func (r *eventReader) line() ([]byte, error) {
	var line []byte
	for {
		part, err := r.reader.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxLineBytes {
			return nil, errors.Errorf("line is longer than %d bytes", maxLineBytes)
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err == io.EOF && len(line) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		return bytes.TrimRight(line, "\r\n"), nil
	}
}
