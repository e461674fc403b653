package ctl

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"primrosespoke.dev/coord/table"
	"primrosespoke.dev/daemon/peer/logservice"
)

// RebuildCommand appends a snapshot, made from a CSV file, to a log that has lost the table.
type RebuildCommand struct {
	File          string `arg:"" help:"CSV of the whole table, as exported." type:"existingfile"`
	Log           string `required:"" help:"Base URL of the log service."`
	Stream        string `default:"table" help:"Stream of the table."`
	NoProcessLeft bool   `required:"" help:"Confirms that no running process holds the table; those that do would keep theirs."`
}

// Run appends the snapshot if the table can't be read from the log any more.
func (c *RebuildCommand) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	file, err := os.Open(c.File)
	if err != nil {
		return errors.WithStack(err)
	}
	defer file.Close()
	sheet, findings := table.ParseCSV(filepath.Base(c.File), file)
	if len(findings) > 0 {
		return findingsError(findings)
	}
	log := logservice.New(c.Log, logservice.Options{})
	version, err := c.offsetAfterLostTable(ctx, log)
	if err != nil {
		return err
	}
	snapshot, findings := table.Rebuild(version, sheet.All())
	if len(findings) > 0 {
		return findingsError(sheet.Locate(findings))
	}
	data, err := table.EncodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	if _, err := log.Append(ctx, c.Stream, data); err != nil {
		return err
	}
	_, err = fmt.Fprintf(Output, "%d rows written at table version %d\n", len(snapshot.Rows), version)
	return errors.WithStack(err)
}

// offsetAfterLostTable returns the offset after the log's newest record. It fails if the
// table can still be read: from all records, or from a snapshot and the records since.
func (c *RebuildCommand) offsetAfterLostTable(ctx context.Context, log *logservice.Client) (int64, error) {
	var from int64
	for {
		page, err := log.Read(ctx, c.Stream, from, 0, 0)
		if err != nil {
			return 0, err
		}
		if page.Earliest == 0 {
			return 0, errors.New("the log of the table still holds all records: nothing to rebuild")
		}
		for _, r := range page.Records {
			// A snapshot is usable if the log holds all records since its version. One of a
			// version beyond its own offset is invalid.
			s, err := table.DecodeSnapshot(r.Data)
			if err == nil && s.Version >= page.Earliest && s.Version <= r.Offset {
				return 0, errors.Errorf("the log of the table holds a usable snapshot at version %d: nothing to rebuild", s.Version)
			}
		}
		if page.Next <= from || len(page.Records) == 0 {
			return page.Next, nil
		}
		from = page.Next
	}
}

// findingsError returns an error with one line for each finding.
func findingsError(findings []table.Finding) error {
	lines := make([]string, len(findings))
	for i, f := range findings {
		lines[i] = f.Error()
	}
	return errors.New(strings.Join(lines, "\n"))
}
