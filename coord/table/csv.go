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

// Names of the columns that every kind has.
const (
	fieldKind    = "kind"
	fieldName    = "name"
	fieldVersion = "version"
	fieldDelete  = "delete"
)

// checksumChars is the length of the checksum in a version cell.
const checksumChars = 8

// byteOrderMark is what spreadsheets put before UTF-8 text.
const byteOrderMark = "\uFEFF"

// sheetColumns returns the header of the table as CSV: the columns of all kinds,
// each name once.
func sheetColumns() []string {
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

// WriteCSV writes rows as CSV, one header for all kinds. A version cell holds the
// row's version and a checksum of its values, from which ParseCSV tells the
// rows that were touched.
func WriteCSV(w io.Writer, rows []RowState) error {
	header := sheetColumns()
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

// checksum identifies a row's values.
func checksum(r Row) string {
	data, err := json.Marshal(r.normal())
	if err != nil {
		// A weight such as NaN does not encode, and is no exported value either.
		return ""
	}
	h := sha256.Sum256(data)
	return hex.EncodeToString(h[:])[:checksumChars]
}

// place is where a row's cells stand in a file.
type place struct {
	line    int
	columns map[string]int
}

// Sheet is a parsed CSV file.
type Sheet struct {
	// File is the name used in findings.
	File string
	// Rows are the rows that were touched since they were exported; all rows whose
	// version cell has no checksum count as touched.
	Rows   []RowEdit
	all    []RowEdit
	places map[Key]place
}

// All returns every row of the sheet but those marked as deleted.
func (s *Sheet) All() []RowEdit {
	return s.all
}

// ParseCSV reads rows as WriteCSV writes them. Fields may be divided by commas,
// semicolons or tabs, as the header shows. Rows that the file leaves out are not
// edited. All findings are returned at once.
func ParseCSV(file string, in io.Reader) (*Sheet, []Finding) {
	data, err := io.ReadAll(in)
	if err != nil {
		return nil, []Finding{{File: file, Message: err.Error()}}
	}
	data = bytes.TrimPrefix(data, []byte(byteOrderMark))
	p := &sheetParser{
		sheet:  &Sheet{File: file, places: map[Key]place{}},
		reader: csv.NewReader(bytes.NewReader(data)),
	}
	p.reader.Comma = divider(data)
	p.reader.FieldsPerRecord = -1
	p.parse()
	return p.sheet, p.findings
}

// divider finds the field divider in the first line.
func divider(data []byte) rune {
	line, _, _ := bytes.Cut(data, []byte("\n"))
	best := ','
	for _, r := range ";\t" {
		if bytes.Count(line, []byte(string(r))) > bytes.Count(line, []byte(string(best))) {
			best = r
		}
	}
	return best
}

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
		p.add(1, 1, Key{}, "", "no header: %v", err)
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
		var broken *csv.ParseError
		if errors.As(err, &broken) {
			p.add(broken.Line, broken.Column, Key{}, "", "%v", broken.Err)
			return
		}
		p.readLine(cells)
	}
}

func (p *sheetParser) readHeader(header []string) {
	known := sheetColumns()
	for i, cell := range header {
		name := strings.ToLower(strings.TrimSpace(cell))
		line, column := p.reader.FieldPos(i)
		switch {
		case !slices.Contains(known, name):
			p.add(line, column, Key{}, name, "unknown column; known are %s", strings.Join(known, ", "))
		case slices.Contains(p.header, name):
			p.add(line, column, Key{}, name, "the column occurs twice")
		}
		p.header = append(p.header, name)
	}
	for _, name := range []string{fieldKind, fieldName} {
		if !slices.Contains(p.header, name) {
			p.add(1, 1, Key{}, name, "the column is missing")
		}
	}
}

func (p *sheetParser) readLine(cells []string) {
	line, _ := p.reader.FieldPos(0)
	if strings.Join(cells, "") == "" {
		return
	}
	if len(cells) > len(p.header) {
		p.add(line, 1, Key{}, "", "%d cells under a header of %d", len(cells), len(p.header))
		return
	}
	values := map[string]string{}
	at := place{line: line, columns: map[string]int{}}
	for i, cell := range cells {
		_, column := p.reader.FieldPos(i)
		values[p.header[i]] = strings.TrimSpace(cell)
		at.columns[p.header[i]] = column
	}
	p.readRow(values, at)
}

func (p *sheetParser) readRow(values map[string]string, at place) {
	key := Key{Kind: Kind(values[fieldKind]), Name: values[fieldName]}
	row, err := NewRow(key.Kind, key.Name)
	if err != nil {
		p.add(at.line, at.columns[fieldKind], key, fieldKind, "%v", err)
		return
	}
	if first, twice := p.sheet.places[key]; twice {
		p.add(at.line, 1, key, "", "the row stands in line %d already", first.line)
		return
	}
	p.sheet.places[key] = at
	edit := RowEdit{Row: row, Name: key.Name}
	base, sum := p.readVersion(values, at, key)
	edit.Base = base
	p.cell(at, key, fieldDelete, readBool(values[fieldDelete], &edit.Delete))
	if edit.Delete {
		edit.Row = Row{Kind: key.Kind}
		p.sheet.Rows = append(p.sheet.Rows, edit)
		return
	}
	p.readFields(values, at, key, row)
	p.sheet.all = append(p.sheet.all, edit)
	if sum == "" || sum != checksum(row) {
		p.sheet.Rows = append(p.sheet.Rows, edit)
	}
}

// readFields sets the row's fields in the order of the header.
func (p *sheetParser) readFields(values map[string]string, at place, key Key, row Row) {
	for _, field := range p.header {
		value := values[field]
		switch field {
		case fieldKind, fieldName, fieldVersion, fieldDelete:
			continue
		}
		if value == "" {
			continue
		}
		p.cell(at, key, field, row.Set(field, value))
	}
}

func (p *sheetParser) cell(at place, key Key, field string, err error) {
	if err != nil {
		p.add(at.line, at.columns[field], key, field, "%v", err)
	}
}

func (p *sheetParser) readVersion(values map[string]string, at place, key Key) (base int64, sum string) {
	cell := values[fieldVersion]
	if cell == "" {
		return 0, ""
	}
	number, sum, _ := strings.Cut(cell, ".")
	base, err := strconv.ParseInt(number, 10, 64)
	if err != nil || base < 0 {
		p.add(at.line, at.columns[fieldVersion], key, fieldVersion, "must be as exported, or empty for a new row")
	}
	return base, sum
}

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

// ChangedRows returns the sheet's rows without those that equal the table's.
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

// Locate fills in the place of findings about rows of the sheet.
func (s *Sheet) Locate(list []Finding) []Finding {
	located := slices.Clone(list)
	for i, f := range located {
		at, ok := s.places[Key{Kind: f.Kind, Name: f.Name}]
		if !ok {
			continue
		}
		located[i].File = s.File
		located[i].Line = at.line
		located[i].Column = max(1, at.columns[f.Field])
	}
	return located
}
