package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"primrosespoke.dev/coord/table"
	"primrosespoke.dev/daemon/peer/operator"
)

// retryDelay is the wait before an edit without a verdict is sent again.
const retryDelay = time.Second

// TableCommand groups the commands on the table.
type TableCommand struct {
	Server  string         `short:"s" env:"SPOKECTL_SERVER" default:"127.0.0.1:8081" help:"Operator listener of any process, HOST:PORT or URL."`
	Export  ExportCommand  `cmd:"" help:"Write the table as CSV."`
	Apply   ApplyCommand   `cmd:"" help:"Apply an edited CSV, whole or not at all."`
	Edit    EditCommand    `cmd:"" help:"Change, add or delete one row."`
	History HistoryCommand `cmd:"" help:"Show the newest edits."`
	Rebuild RebuildCommand `cmd:"" help:"Write the table of a CSV into a log that lost it, when no process is left."`
}

// ExportCommand writes the table as CSV.
type ExportCommand struct {
	Out string `short:"o" help:"File to write; none = standard output."`
}

// Run writes the table to the file or to the output.
func (c *ExportCommand) Run(t *TableCommand) error {
	data, _, err := call(context.Background(), http.MethodGet, joinURL(t.Server, operator.PathTable+"?format=csv"), "", nil)
	if err != nil {
		return err
	}
	if c.Out != "" {
		return errors.WithStack(os.WriteFile(c.Out, data, 0o644))
	}
	_, err = Output.Write(data)
	return errors.WithStack(err)
}

// editSubmission holds the flags that apply and edit share, and submits their edits.
type editSubmission struct {
	Preview bool          `help:"Show what would change, and change nothing."`
	Editor  string        `env:"USER" help:"Name for the history."`
	ID      string        `help:"Edit ID, to ask again about an edit whose answer was lost; none = a new one."`
	Timeout time.Duration `default:"60s" help:"How long to ask for the verdict."`
}

// ApplyCommand submits an edited CSV file as one edit.
type ApplyCommand struct {
	File string `arg:"" help:"CSV as exported and edited." type:"existingfile"`
	editSubmission
}

// Run submits the file together with the table's current version.
func (c *ApplyCommand) Run(t *TableCommand) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return errors.WithStack(err)
	}
	seen, err := fetchTableVersion(t)
	if err != nil {
		return err
	}
	query := url.Values{"file": {filepath.Base(c.File)}, "seen": {strconv.FormatInt(seen, 10)}}
	return c.send(t, query, "text/csv", data)
}

// EditCommand adds, changes or deletes one row.
type EditCommand struct {
	Kind   string   `arg:"" enum:"tier,account,endpoint" help:"Kind of row: tier, account or endpoint."`
	Name   string   `arg:"" help:"Name of the row."`
	Fields []string `arg:"" optional:"" name:"field=value" help:"Columns and their new values; lists are divided by spaces."`
	Delete bool     `help:"Delete the row."`
	editSubmission
}

// Run reads the table and submits the edit of the row.
func (c *EditCommand) Run(t *TableCommand) error {
	body, err := fetchTable(t)
	if err != nil {
		return err
	}
	edit, err := c.buildEdit(body)
	if err != nil {
		return err
	}
	data, err := json.Marshal(edit)
	if err != nil {
		return errors.WithStack(err)
	}
	return c.send(t, url.Values{}, "application/json", data)
}

// buildEdit returns an edit of the row, based on the row's version in the given table.
func (c *EditCommand) buildEdit(body operator.TableBody) (table.Edit, error) {
	if c.ID == "" {
		c.ID = uuid.NewString()
	}
	key := table.Key{Kind: table.Kind(c.Kind), Name: c.Name}
	row, err := table.NewRow(key.Kind, key.Name)
	if err != nil {
		return table.Edit{}, err
	}
	change := table.RowEdit{Row: row, Name: key.Name}
	for _, r := range body.Rows {
		if r.Key() == key {
			change.Row, change.Base = r.Row, r.Version
		}
	}
	if c.Delete {
		change.Row, change.Delete = table.Row{Kind: key.Kind}, true
	}
	for _, field := range c.Fields {
		name, value, ok := strings.Cut(field, "=")
		if !ok {
			return table.Edit{}, errors.Errorf("%q is not of the form field=value", field)
		}
		if err := change.Set(name, value); err != nil {
			return table.Edit{}, errors.Wrap(err, name)
		}
	}
	return table.Edit{ID: c.ID, Editor: c.Editor, Seen: body.Version, Rows: []table.RowEdit{change}}, nil
}

// fetchTable reads the table from the process.
func fetchTable(t *TableCommand) (operator.TableBody, error) {
	var body operator.TableBody
	data, _, err := call(context.Background(), http.MethodGet, joinURL(t.Server, operator.PathTable), "", nil)
	if err != nil {
		return body, err
	}
	return body, errors.WithStack(json.Unmarshal(data, &body))
}

// fetchTableVersion reads the table's current version from the process.
func fetchTableVersion(t *TableCommand) (int64, error) {
	body, err := fetchTable(t)
	return body.Version, err
}

// send posts an edit, and again after failures until a verdict comes or the timeout ends.
// Every try has the same edit ID, so that the edit is applied at most once.
func (s *editSubmission) send(t *TableCommand, query url.Values, contentType string, data []byte) error {
	if s.ID == "" {
		s.ID = uuid.NewString()
	}
	query.Set("id", s.ID)
	query.Set("editor", s.Editor)
	path := operator.PathEdits
	if s.Preview {
		path = operator.PathPreview
	}
	target := joinURL(t.Server, path+"?"+query.Encode())
	deadline := time.Now().Add(s.Timeout)
	for {
		answer, _, err := call(context.Background(), http.MethodPost, target, contentType, data)
		if err == nil {
			return s.printVerdict(answer)
		}
		if s.Preview || !canRetry(err) || time.Now().After(deadline) {
			return refusalError(s.ID, err)
		}
		time.Sleep(retryDelay)
	}
}

// canRetry reports whether sending the edit again may bring a verdict: after a refusal that
// allows a retry, and after any error that isn't a refusal by the process.
func canRetry(err error) bool {
	var p *operator.Problem
	if errors.As(err, &p) {
		return p.RetryAfter > 0
	}
	return true
}

// printVerdict prints the changes of an edit that was accepted or previewed.
func (s *editSubmission) printVerdict(answer []byte) error {
	var verdict table.Verdict
	if err := json.Unmarshal(answer, &verdict); err != nil {
		return errors.WithStack(err)
	}
	for _, change := range verdict.Changes {
		fmt.Fprintln(Output, change)
	}
	switch {
	case s.Preview:
		fmt.Fprintf(Output, "preview: %d changes, nothing applied\n", len(verdict.Changes)+verdict.Omitted)
	default:
		fmt.Fprintf(Output, "accepted: %d changes, table version %d, edit %s\n", len(verdict.Changes)+verdict.Omitted, verdict.Version, verdict.EditID)
	}
	return nil
}

// refusalError describes why an edit failed, with a line for each finding and each row that
// changed since it was read.
func refusalError(editID string, err error) error {
	var problem *operator.Problem
	if !errors.As(err, &problem) {
		return errors.Wrapf(err, "edit %s: verdict unknown, repeat the command with this ID in --id", editID)
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "edit %s: %s\n", editID, problem.Detail)
	for _, f := range problem.Findings {
		fmt.Fprintln(&b, f.Error())
	}
	for _, c := range problem.Conflicts {
		fmt.Fprintf(&b, "%s %s: read at version %d, now at %d:", c.Kind, c.Name, c.Base, c.Version)
		for _, field := range table.Columns(c.Kind) {
			if c.Current != nil {
				fmt.Fprintf(&b, " %s=%q", field, c.Current.Get(field))
			}
		}
		b.WriteString("\n")
	}
	return errors.New(strings.TrimSpace(b.String()))
}

// HistoryCommand lists the newest edits.
type HistoryCommand struct {
	Count int `short:"n" default:"20" help:"How many edits to show."`
}

// Run prints the newest edits with their verdicts and changes.
func (c *HistoryCommand) Run(t *TableCommand) error {
	data, _, err := call(context.Background(), http.MethodGet, joinURL(t.Server, operator.PathHistory), "", nil)
	if err != nil {
		return err
	}
	var body operator.HistoryBody
	if err := json.Unmarshal(data, &body); err != nil {
		return errors.WithStack(err)
	}
	for _, v := range body.Edits[:min(c.Count, len(body.Edits))] {
		verdict := "accepted"
		if !v.Accepted {
			verdict = "rejected: " + string(v.Reason)
		}
		when := time.UnixMilli(v.AtMS).UTC().Format(time.RFC3339)
		fmt.Fprintf(Output, "%d %s %s %s %s\n", v.Version, when, v.Editor, v.EditID, verdict)
		for _, change := range v.Changes {
			fmt.Fprintf(Output, "    %s\n", change)
		}
	}
	return nil
}
