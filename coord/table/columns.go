package table

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// column reads and writes one field of a row as text.
type column struct {
	name string
	get  func(Row) string
	set  func(Row, string) error
}

// Columns returns the names of the columns of a kind, without the columns that all
// kinds share (kind, name, version, delete).
func Columns(kind Kind) []string {
	var names []string
	for _, c := range columnsOf(kind) {
		names = append(names, c.name)
	}
	return names
}

func columnsOf(kind Kind) []column {
	switch kind {
	case KindTier:
		return tierColumns
	case KindAccount:
		return accountColumns
	case KindEndpoint:
		return endpointColumns
	}
	return nil
}

// NewRow returns a row of a kind with default values, as for a CSV line whose other
// cells are empty.
func NewRow(kind Kind, name string) (Row, error) {
	switch kind {
	case KindTier:
		return Row{Kind: kind, Tier: &Tier{Name: name}}, nil
	case KindAccount:
		return Row{Kind: kind, Account: &Account{Name: name, Weight: 1}}, nil
	case KindEndpoint:
		return Row{Kind: kind, Endpoint: &Endpoint{Name: name, Weight: 1}}, nil
	}
	return Row{}, errors.Errorf("unknown row kind %q: must be %s, %s or %s", kind, KindTier, KindAccount, KindEndpoint)
}

// Set parses value and stores it in the named field. It changes the row in place.
func (r Row) Set(field, value string) error {
	if _, ok := r.name(); !ok {
		return errors.Errorf("row of kind %q must have the values of its kind, and no others", r.Kind)
	}
	for _, c := range columnsOf(r.Kind) {
		if c.name == field {
			return c.set(r, strings.TrimSpace(value))
		}
	}
	return errors.Errorf("row of kind %s has no column %q", r.Kind, field)
}

// Get returns one field as text, or an empty string if the column does not exist or
// the row has no values.
func (r Row) Get(field string) string {
	for _, c := range columnsOf(r.Kind) {
		if c.name == field {
			return formatCell(c, r)
		}
	}
	return ""
}

var tierColumns = []column{
	intColumn("rank", func(r Row) *int { return &r.Tier.Rank }),
	intColumn("queue_limit", func(r Row) *int { return &r.Tier.QueueLimit }),
	durationColumn("max_wait", func(r Row) *time.Duration { return &r.Tier.MaxWait }),
	durationColumn("first_token", func(r Row) *time.Duration { return &r.Tier.FirstToken }),
	durationColumn("token_interval", func(r Row) *time.Duration { return &r.Tier.TokenInterval }),
	boolColumn("preemptible", func(r Row) *bool { return &r.Tier.Preemptible }),
}

var accountColumns = []column{
	textColumn("key_digest", func(r Row) *string { return &r.Account.KeyDigest }),
	listColumn("tiers", func(r Row) *[]string { return &r.Account.Tiers }),
	listColumn("endpoints", func(r Row) *[]string { return &r.Account.Endpoints }),
	floatColumn("weight", func(r Row) *float64 { return &r.Account.Weight }),
	floatColumn("requests_per_second", func(r Row) *float64 { return &r.Account.RequestsPerSecond }),
	floatColumn("tokens_per_second", func(r Row) *float64 { return &r.Account.TokensPerSecond }),
	intColumn("concurrency", func(r Row) *int { return &r.Account.Concurrency }),
}

var endpointColumns = []column{
	{
		name: "endpoint_kind",
		get:  func(r Row) string { return string(r.Endpoint.Kind) },
		set:  func(r Row, v string) error { r.Endpoint.Kind = EndpointKind(v); return nil },
	},
	floatColumn("weight", func(r Row) *float64 { return &r.Endpoint.Weight }),
	intColumn("concurrency", func(r Row) *int { return &r.Endpoint.Concurrency }),
	intColumn("max_tokens", func(r Row) *int { return &r.Endpoint.MaxTokens }),
	listColumn("non_idempotent", func(r Row) *[]string { return &r.Endpoint.NonIdempotent }),
}

func textColumn(name string, field func(Row) *string) column {
	return column{
		name: name,
		get:  func(r Row) string { return *field(r) },
		set:  func(r Row, v string) error { *field(r) = v; return nil },
	}
}

func intColumn(name string, field func(Row) *int) column {
	return parsedColumn(name, field, strconv.Itoa, func(v string) (int, error) {
		n, err := strconv.Atoi(v)
		return n, errors.Wrap(unwrapNumError(err), "must be a whole number")
	})
}

func floatColumn(name string, field func(Row) *float64) column {
	format := func(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }
	return parsedColumn(name, field, format, func(v string) (float64, error) {
		n, err := strconv.ParseFloat(v, 64)
		return n, errors.Wrap(unwrapNumError(err), "must be a number with a decimal point")
	})
}

func durationColumn(name string, field func(Row) *time.Duration) column {
	format := func(d time.Duration) string { return d.String() }
	return parsedColumn(name, field, format, func(v string) (time.Duration, error) {
		d, err := time.ParseDuration(v)
		return d, errors.Wrap(unwrapNumError(err), "must be a duration such as 480ms or 30s")
	})
}

func boolColumn(name string, field func(Row) *bool) column {
	return parsedColumn(name, field, strconv.FormatBool, func(v string) (bool, error) {
		switch strings.ToLower(v) {
		case "true", "yes":
			return true, nil
		case "false", "no":
			return false, nil
		}
		return false, errors.New("must be true or false")
	})
}

// listColumn is a column with a list of words separated by spaces.
func listColumn(name string, field func(Row) *[]string) column {
	return column{
		name: name,
		get:  func(r Row) string { return strings.Join(*field(r), " ") },
		set: func(r Row, v string) error {
			*field(r) = cloneList(strings.Fields(v))
			return nil
		},
	}
}

// parsedColumn is a column that converts text with format and parse. Setting it to
// an empty string keeps the current value.
func parsedColumn[T any](name string, field func(Row) *T, format func(T) string, parse func(string) (T, error)) column {
	return column{
		name: name,
		get:  func(r Row) string { return format(*field(r)) },
		set: func(r Row, v string) error {
			if v == "" {
				return nil
			}
			value, err := parse(v)
			if err != nil {
				return err
			}
			*field(r) = value
			return nil
		},
	}
}

// unwrapNumError returns the cause of a strconv error, because the whole error would
// repeat the function name and the value in a finding. It returns other errors as they are.
func unwrapNumError(err error) error {
	var number *strconv.NumError
	if errors.As(err, &number) {
		return number.Err
	}
	return err
}

// diff returns the fields that differ between two states of a row. An empty row stands
// for a row that does not exist. For an added row it returns the fields that differ
// from the defaults.
func diff(key Key, before, after Row) []Change {
	var changes []Change
	if before.empty() != after.empty() {
		changes = append(changes, Change{Key: key, Field: "row", Before: presence(before), After: presence(after)})
	}
	if after.empty() {
		return changes
	}
	if before.empty() {
		before, _ = NewRow(key.Kind, key.Name)
	}
	for _, c := range columnsOf(key.Kind) {
		oldText, newText := c.get(before), c.get(after)
		if oldText != newText {
			changes = append(changes, Change{Key: key, Field: c.name, Before: oldText, After: newText})
		}
	}
	return changes
}

// formatCell returns the field as text; it is empty for a row without values.
func formatCell(c column, r Row) string {
	if r.empty() {
		return ""
	}
	return c.get(r)
}

// presence describes whether a row exists, for the change of the field "row".
func presence(r Row) string {
	if r.empty() {
		return "absent"
	}
	return "present"
}
