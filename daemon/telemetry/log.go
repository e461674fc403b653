// Package telemetry creates a process's logger, which writes key=value lines, and its metrics,
// which are scraped in the Prometheus text format.
package telemetry

import (
	"bytes"
	"encoding/json"
	"io"
	"sort"
	"strconv"
	"strings"
	"sync"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// leadingKeys are the keys that come first in each line, in this order.
var leadingKeys = []string{"time", "level", "event", "request_id", "attempt"}

// NewLogger returns a logger that writes each log event as one line of key=value pairs. The
// message of the event is the value of the key "event". level is the lowest level that is
// written, one of debug, info, warn and error.
func NewLogger(out io.Writer, level string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), errors.Wrap(err, "parse log level")
	}
	setFieldNames()
	writer := &pairWriter{out: out}
	return zerolog.New(writer).Level(parsed).With().Timestamp().Logger(), nil
}

// setFieldNames sets the message key and the time format, which are global in zerolog, once.
var setFieldNames = sync.OnceFunc(func() {
	zerolog.MessageFieldName = "event"
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000000Z07:00"
})

// pairWriter converts zerolog's JSON lines into lines of key=value pairs.
type pairWriter struct {
	mu  sync.Mutex
	out io.Writer
}

// Write implements io.Writer; line is the JSON of one log event.
func (w *pairWriter) Write(line []byte) (int, error) {
	var fields map[string]any
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.UseNumber()
	if err := decoder.Decode(&fields); err != nil {
		return 0, errors.Wrap(err, "decode log event")
	}
	text := renderPairs(fields)
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, err := io.WriteString(w.out, text); err != nil {
		return 0, errors.Wrap(err, "write log event")
	}
	return len(line), nil
}

// renderPairs formats fields as a line: the leading keys first, then the others in sorted order.
// It removes the leading keys from fields.
func renderPairs(fields map[string]any) string {
	var b strings.Builder
	for _, key := range leadingKeys {
		if value, ok := fields[key]; ok {
			appendPair(&b, key, value)
			delete(fields, key)
		}
	}
	rest := make([]string, 0, len(fields))
	for key := range fields {
		rest = append(rest, key)
	}
	sort.Strings(rest)
	for _, key := range rest {
		appendPair(&b, key, fields[key])
	}
	b.WriteByte('\n')
	return b.String()
}

func appendPair(b *strings.Builder, key string, value any) {
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	b.WriteString(key)
	b.WriteByte('=')
	b.WriteString(renderValue(value))
}

// renderValue formats a value, in quotes if it is empty or contains a separator.
func renderValue(value any) string {
	text, ok := value.(string)
	if !ok {
		data, err := json.Marshal(value)
		if err != nil {
			return "?"
		}
		text = string(data)
	}
	if text == "" || strings.ContainsAny(text, " =\"\n\t\r") {
		return strconv.Quote(text)
	}
	return text
}
