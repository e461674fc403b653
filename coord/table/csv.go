package table

import (
	"bytes"
	"crypto/sha256"
	"encoding/csv"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Names of the columns that all kinds of row share.
const (
	fieldKind    = "kind"
	fieldName    = "name"
	fieldVersion = "version"
	fieldDelete  = "delete"
)

// checksumLength is the length of the checksum in a version cell, in hexadecimal digits.
const checksumLength = 8

// byteOrderMark is the mark that spreadsheet programs write before UTF-8 text.
const byteOrderMark = "\uFEFF"

// csvHeader returns the header line of the table as CSV: the names of the columns of
// all kinds, each once.
func csvHeader() []string {
	header := []string{fieldKind, fieldName, fieldVersion, fieldDelete}
	for _, kind := range []Kind{KindTier, KindAccount, KindEndpoint} {
		for _, name := range Columns(kind) {
			if !slices.Contains(header, name) {
				header = append(header, name)
			}
		}
	}
	return header
}

// WriteCSV writes rows as CSV, with one header for all kinds. A version cell holds the
// row's version and a checksum of its values, with which ParseCSV detects the rows that
// were changed after the export.
func WriteCSV(w io.Writer, rows []RowState) error {
	header := csvHeader()
	out := csv.NewWriter(w)
	if err := out.Write(header); err != nil {
		return errors.Wrap(err, "write CSV")
	}
	for _, row := range rows {
		name, _ := row.name()
		line := make([]string, len(header))
		for i, field := range header {
			line[i] = row.Get(field)
		}
		line[0], line[1] = string(row.Kind), name
		line[2] = fmt.Sprintf("%d.%s", row.Version, checksum(row.Row))
		if err := out.Write(line); err != nil {
			return errors.Wrap(err, "write CSV")
		}
	}
	out.Flush()
	return errors.Wrap(out.Error(), "write CSV")
}

// checksum returns a short checksum of a row's values.
func checksum(r Row) string {
	data, err := json.Marshal(r.normalized())
	if err != nil {
		// JSON cannot encode numbers such as NaN. The rules reject them, so no exported row
		// has one, and the empty checksum marks the row as changed.
		return ""
	}
	h := sha256.Sum256(data)
	return hex.EncodeToString(h[:])[:checksumLength]
}

// position is the position of a row in a file: its line, and the column at which the
// cell of each field starts. Both count from 1.
type position struct {
	line    int
	columns map[string]int
}

// Sheet is a parsed CSV file.
type Sheet struct {
	// File is the file name for findings.
	File string
	// Rows are the rows that were changed after the export. Rows whose version cell has
	// no checksum count as changed.
	Rows []RowEdit
	// allRows are all rows except those marked as deleted.
	allRows   []RowEdit
	positions map[Key]position
}

// All returns all rows of the sheet except those marked as deleted.
func (s *Sheet) All() []RowEdit {
	return s.allRows
}

// ParseCSV parses rows in the format of WriteCSV. The delimiter may be a comma, a
// semicolon or a tab; it is detected in the header. A row that the file leaves out is
// not edited. ParseCSV continues after an invalid row, but not after an invalid header
// or a CSV syntax error, and returns all findings together.
func ParseCSV(file string, in io.Reader) (*Sheet, []Finding) {
	data, err := io.ReadAll(in)
	if err != nil {
		return nil, []Finding{{File: file, Message: err.Error()}}
	}
	data = bytes.TrimPrefix(data, []byte(byteOrderMark))
	p := &sheetParser{
		sheet:  &Sheet{File: file, positions: map[Key]position{}},
		reader: csv.NewReader(bytes.NewReader(data)),
	}
	p.reader.Comma = detectDelimiter(data)
	p.reader.FieldsPerRecord = -1
	p.parse()
	return p.sheet, p.findings
}

// detectDelimiter returns the most frequent of the possible delimiters in the first line.
func detectDelimiter(data []byte) rune {
	line, _, _ := bytes.Cut(data, []byte("\n"))
	best := ','
	for _, r := range ";\t" {
		if bytes.Count(line, []byte(string(r))) > bytes.Count(line, []byte(string(best))) {
			best = r
		}
	}
	return best
}

// sheetParser parses a CSV file into a sheet and collects the findings.
type sheetParser struct {
	sheet    *Sheet
	reader   *csv.Reader
	header   []string
	findings []Finding
}

func (p *sheetParser) add(line, column int, key Key, field, format string, args ...any) {
	p.findings = append(p.findings, Finding{
		File: p.sheet.File, Line: line, Column: column,
		Kind: key.Kind, Name: key.Name, Field: field, Message: fmt.Sprintf(format, args...),
	})
}

func (p *sheetParser) parse() {
	header, err := p.reader.Read()
	if err != nil {
		p.add(1, 1, Key{}, "", "header cannot be read: %v", err)
		return
	}
	p.readHeader(header)
	if len(p.findings) > 0 {
		return
	}
	for {
		cells, err := p.reader.Read()
		if err == io.EOF {
			return
		}
		var parseError *csv.ParseError
		if errors.As(err, &parseError) {
			p.add(parseError.Line, parseError.Column, Key{}, "", "%v", parseError.Err)
			return
		}
		p.readLine(cells)
	}
}

// readHeader reads the column names and reports unknown, repeated and missing columns.
func (p *sheetParser) readHeader(header []string) {
	known := csvHeader()
	for i, cell := range header {
		name := strings.ToLower(strings.TrimSpace(cell))
		line, column := p.reader.FieldPos(i)
		switch {
		case !slices.Contains(known, name):
			p.add(line, column, Key{}, name, "unknown column; the known columns are %s", strings.Join(known, ", "))
		case slices.Contains(p.header, name):
			p.add(line, column, Key{}, name, "column occurs twice in the header")
		}
		p.header = append(p.header, name)
	}
	for _, name := range []string{fieldKind, fieldName} {
		if !slices.Contains(p.header, name) {
			p.add(1, 1, Key{}, name, "column is missing in the header")
		}
	}
}

// readLine reads the cells of one line; it skips a line whose cells are all empty.
func (p *sheetParser) readLine(cells []string) {
	line, _ := p.reader.FieldPos(0)
	if strings.Join(cells, "") == "" {
		return
	}
	if len(cells) > len(p.header) {
		p.add(line, 1, Key{}, "", "line has %d cells, but the header has only %d columns", len(cells), len(p.header))
		return
	}
	values := map[string]string{}
	pos := position{line: line, columns: map[string]int{}}
	for i, cell := range cells {
		_, column := p.reader.FieldPos(i)
		values[p.header[i]] = strings.TrimSpace(cell)
		pos.columns[p.header[i]] = column
	}
	p.readRow(values, pos)
}

// readRow adds the row with the given cells to the sheet.
func (p *sheetParser) readRow(values map[string]string, pos position) {
	key := Key{Kind: Kind(values[fieldKind]), Name: values[fieldName]}
	row, err := NewRow(key.Kind, key.Name)
	if err != nil {
		p.add(pos.line, pos.columns[fieldKind], key, fieldKind, "%v", err)
		return
	}
	if first, exists := p.sheet.positions[key]; exists {
		p.add(pos.line, 1, key, "", "row already occurs in line %d", first.line)
		return
	}
	p.sheet.positions[key] = pos
	edit := RowEdit{Row: row, Name: key.Name}
	base, sum := p.readVersion(values, pos, key)
	edit.Base = base
	p.addCellError(pos, key, fieldDelete, readBool(values[fieldDelete], &edit.Delete))
	if edit.Delete {
		edit.Row = Row{Kind: key.Kind}
		p.sheet.Rows = append(p.sheet.Rows, edit)
		return
	}
	p.readFields(values, pos, key, row)
	p.sheet.allRows = append(p.sheet.allRows, edit)
	if sum == "" || sum != checksum(row) {
		p.sheet.Rows = append(p.sheet.Rows, edit)
	}
}

// readFields sets the row's fields from the cells that are not empty, in the order of
// the header.
func (p *sheetParser) readFields(values map[string]string, pos position, key Key, row Row) {
	for _, field := range p.header {
		value := values[field]
		switch field {
		case fieldKind, fieldName, fieldVersion, fieldDelete:
			continue
		}
		if value == "" {
			continue
		}
		p.addCellError(pos, key, field, row.Set(field, value))
	}
}

// addCellError reports an error in the cell of a field, if there is one.
func (p *sheetParser) addCellError(pos position, key Key, field string, err error) {
	if err != nil {
		p.add(pos.line, pos.columns[field], key, field, "%v", err)
	}
}

// readVersion splits a version cell into the row's version and the checksum. An empty
// cell, as of a new row, gives version 0 and no checksum.
func (p *sheetParser) readVersion(values map[string]string, pos position, key Key) (base int64, sum string) {
	cell := values[fieldVersion]
	if cell == "" {
		return 0, ""
	}
	number, sum, _ := strings.Cut(cell, ".")
	base, err := strconv.ParseInt(number, 10, 64)
	if err != nil || base < 0 {
		p.add(pos.line, pos.columns[fieldVersion], key, fieldVersion, "must be the exported value, or empty for a new row")
	}
	return base, sum
}

// readBool parses a yes-or-no cell; an empty cell leaves the value as it is.
func readBool(value string, into *bool) error {
	if value == "" {
		return nil
	}
	switch strings.ToLower(value) {
	case "true", "yes", "x":
		*into = true
	case "false", "no":
	default:
		return errors.New("must be yes, no or empty")
	}
	return nil
}

// ChangedRows returns the sheet's Rows without those that equal the rows of the table.
func (s *Sheet) ChangedRows(t *Table) []RowEdit {
	var rows []RowEdit
	for _, row := range s.Rows {
		current, ok := t.Row(row.Key())
		if ok && !row.Delete && len(diff(row.Key(), current, row.Row)) == 0 {
			continue
		}
		rows = append(rows, row)
	}
	return rows
}

// Locate returns the findings with file, line and column filled in for those about rows
// of the sheet.
func (s *Sheet) Locate(list []Finding) []Finding {
	located := slices.Clone(list)
	for i, f := range located {
		pos, ok := s.positions[Key{Kind: f.Kind, Name: f.Name}]
		if !ok {
			continue
		}
		located[i].File = s.File
		located[i].Line = pos.line
		located[i].Column = max(1, pos.columns[f.Field])
	}
	return located
}
