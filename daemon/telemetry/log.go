// Package telemetry sets up a process's logs and metrics.
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

// leadingKeys fields come first in each line, in this order.
var leadingKeys = []string{"time", "level", "event", "request_id", "attempt"}

// NewLogger returns a logger that writes one line of key=value pairs an event.
// The message of an event is its key "event". Level is one of debug, info, warn, error.
func NewLogger(out io.Writer, level string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), errors.Wrap(err, "log level")
	}
	setFieldNames()
	writer := &pairWriter{out: out}
	return zerolog.New(writer).Level(parsed).With().Timestamp().Logger(), nil
}

// setFieldNames sets zerolog's own names, which are global, once.
var setFieldNames = sync.OnceFunc(func() {
	zerolog.MessageFieldName = "event"
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000000Z07:00"
})

// pairWriter turns zerolog's JSON lines into key=value pairs.
type pairWriter struct {
	mu  sync.Mutex
	out io.Writer
}

// Write implements io.Writer; each call holds one event.
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
