package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

const maxLineBytes = 1 << 20 // of an event stream

// Event is a server-sent event of a stream.
type Event struct {
	// ID is the number of the event within its stream; -1 = the event has none.
	ID int64
	// Data is the payload; several data lines are joined by newlines.
	Data []byte
}

// doneData is the payload of the last event of a complete answer.
var doneData = []byte("[DONE]")

// Done reports whether the event marks the end of a complete answer.
func (e Event) Done() bool {
	return bytes.Equal(e.Data, doneData)
}

// Encode returns the event in the format of server-sent events, without its ID.
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

// Usage holds the token counts of an answer.
type Usage struct {
	// Prompt is the number of prompt tokens, including the cached ones.
	Prompt int
	// Cached is the number of prompt tokens found in the prefix cache.
	Cached int
	// Generated is the number of generated tokens.
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

// usageKey occurs in all data with token counts. Data without it is not decoded.
var usageKey = []byte(`"usage"`)

// ParseUsage returns the token counts in the data of an event or in the body of an answer.
// It returns false if there are none.
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

// next returns the next complete event. If the body ends within an event, it drops that
// event and returns io.ErrUnexpectedEOF.
func (r *eventReader) next() (Event, error) {
	event := Event{ID: -1}
	var data [][]byte
	inEvent := false
	for {
		line, err := r.line()
		if err == io.EOF && inEvent {
			return Event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			if len(data) == 0 {
				event, inEvent = Event{ID: -1}, false
				continue
			}
			event.Data = bytes.Join(data, []byte("\n"))
			return event, nil
		}
		inEvent = true
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

// line returns the next line without its line ending. If the body ends within a line, it
// drops that line and returns io.ErrUnexpectedEOF.
func (r *eventReader) line() ([]byte, error) {
	var line []byte
	for {
		part, err := r.reader.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxLineBytes {
			return nil, errors.Errorf("line of the event stream is longer than %d bytes", maxLineBytes)
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
