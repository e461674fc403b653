package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"primrosespoke.dev/coord/table"
	"primrosespoke.dev/daemon/tablesync"
)

const (
	// maxBodyBytes is the largest size of the body of an edit.
	maxBodyBytes = 16 << 20
	// submitTimeout is the longest wait for the verdict on an edit.
	submitTimeout = 15 * time.Second
	// retrySeconds is the Retry-After value while the log service is unavailable.
	retrySeconds = 5

	typeCSV = "text/csv"
	// HeaderTableVersion carries the table's version beside a body in CSV.
	HeaderTableVersion = "X-Table-Version"
)

// TableBody is the JSON body of the table; durations are in nanoseconds.
type TableBody struct {
	Version int64            `json:"version"`
	Rows    []table.RowState `json:"rows"`
}

// HistoryBody is the JSON body of the history: the latest edits, newest first.
type HistoryBody struct {
	Edits []table.Verdict `json:"edits"`
}

func itoa(n int) string { return strconv.Itoa(n) }

// getTable sends the table as JSON, or as CSV if the query or the Accept header asks for it.
func (s *server) getTable(c echo.Context) error {
	if err := s.requireReady(); err != nil {
		return err
	}
	t := s.cfg.Table.Current()
	rows := t.Rows()
	c.Response().Header().Set(HeaderTableVersion, strconv.FormatInt(t.Version, 10))
	csv := c.QueryParam("format") == "csv" || strings.Contains(c.Request().Header.Get(echo.HeaderAccept), typeCSV)
	if !csv {
		return c.JSON(http.StatusOK, TableBody{Version: t.Version, Rows: rows})
	}
	var b bytes.Buffer
	if err := table.WriteCSV(&b, rows); err != nil {
		return err
	}
	return c.Blob(http.StatusOK, typeCSV+"; charset=utf-8", b.Bytes())
}

// requireReady returns a Problem until the process has the whole table.
func (s *server) requireReady() error {
	if s.cfg.Table.Ready() {
		return nil
	}
	return &Problem{
		Kind: "table-not-ready", Status: http.StatusServiceUnavailable,
		Detail: "this process has no whole table yet", RetryAfter: retrySeconds,
	}
}

func (s *server) history(c echo.Context) error {
	list, err := s.cfg.Table.History(c.Request().Context())
	if err != nil {
		return err
	}
	newest := make([]table.Verdict, 0, len(list))
	for i := len(list) - 1; i >= 0; i-- {
		newest = append(newest, list[i])
	}
	return c.JSON(http.StatusOK, HistoryBody{Edits: newest})
}

func (s *server) preview(c echo.Context) error {
	edit, sheet, err := s.readEdit(c)
	if err != nil {
		return err
	}
	if len(edit.Rows) == 0 {
		return c.JSON(http.StatusOK, unchangedVerdict(edit))
	}
	v, err := s.cfg.Table.Preview(c.Request().Context(), edit)
	if err != nil {
		return err
	}
	return writeVerdict(c, v, sheet)
}

func (s *server) submit(c echo.Context) error {
	edit, sheet, err := s.readEdit(c)
	if err != nil {
		return err
	}
	if len(edit.Rows) == 0 {
		return c.JSON(http.StatusOK, unchangedVerdict(edit))
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), submitTimeout)
	defer cancel()
	v, err := s.cfg.Table.Submit(ctx, edit)
	if err != nil {
		return submitProblem(edit.ID, err)
	}
	return writeVerdict(c, v, sheet)
}

// unchangedVerdict returns the verdict on an edit that changes no row; such an edit is
// not submitted to the log.
func unchangedVerdict(e table.Edit) table.Verdict {
	return table.Verdict{EditID: e.ID, Editor: e.Editor, Version: e.Seen, Accepted: true}
}

// submitProblem returns the Problem for an edit whose submission failed.
func submitProblem(editID string, err error) error {
	p := &Problem{Kind: "internal", Status: http.StatusInternalServerError, Detail: err.Error(), EditID: editID}
	switch {
	case errors.Is(err, tablesync.ErrNotSubmitted):
		p.Kind, p.Status, p.RetryAfter = "table-not-submitted", http.StatusServiceUnavailable, retrySeconds
	case errors.Is(err, tablesync.ErrUndecided):
		p.Kind, p.Status, p.RetryAfter = "table-undecided", http.StatusGatewayTimeout, retrySeconds
	case errors.Is(err, tablesync.ErrInvalidEdit):
		p.Kind, p.Status = "table-findings", http.StatusUnprocessableEntity
	}
	return p
}

// writeVerdict sends an accepted verdict, or returns the Problem for a rejected one. Its
// findings get the line numbers of the sheet, if there is one.
func writeVerdict(c echo.Context, v table.Verdict, sheet *table.Sheet) error {
	if v.Accepted {
		return c.JSON(http.StatusOK, v)
	}
	if sheet != nil {
		v.Findings = sheet.Locate(v.Findings)
	}
	return verdictProblem(v)
}

// readEdit reads an edit from a body in JSON or CSV; the sheet is nil for JSON. An edit
// without an ID gets a random one, and one that does not say which version of the
// table it was made from is taken to be made from the current one.
func (s *server) readEdit(c echo.Context) (table.Edit, *table.Sheet, error) {
	if err := s.requireReady(); err != nil {
		return table.Edit{}, nil, err
	}
	data, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	if err != nil {
		return table.Edit{}, nil, echo.NewHTTPError(http.StatusRequestEntityTooLarge, err.Error())
	}
	current := s.cfg.Table.Current()
	edit := table.Edit{ID: c.QueryParam("id"), Editor: c.QueryParam("editor"), Seen: -1}
	var sheet *table.Sheet
	if strings.HasPrefix(c.Request().Header.Get(echo.HeaderContentType), typeCSV) {
		edit, sheet, err = readSheet(c, edit, current, data)
	} else {
		err = decodeJSON(data, &edit)
	}
	if err != nil {
		return table.Edit{}, nil, err
	}
	if edit.ID == "" {
		edit.ID = uuid.NewString()
	}
	if edit.Seen < 0 {
		edit.Seen = current.Version
	}
	return edit, sheet, nil
}

// decodeJSON decodes an edit and refuses unknown fields.
func decodeJSON(data []byte, edit *table.Edit) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(edit); err != nil {
		return &Problem{Kind: "request", Status: http.StatusBadRequest, Detail: "not an edit in JSON: " + err.Error()}
	}
	return nil
}

// readSheet reads an edit from a CSV body and the query: its rows are those of the sheet
// that differ from the current table.
func readSheet(c echo.Context, edit table.Edit, current *table.Table, data []byte) (table.Edit, *table.Sheet, error) {
	file := c.QueryParam("file")
	if file == "" {
		file = "table.csv"
	}
	if seen := c.QueryParam("seen"); seen != "" {
		n, err := strconv.ParseInt(seen, 10, 64)
		if err != nil {
			return edit, nil, echo.NewHTTPError(http.StatusBadRequest, "query parameter seen must be a table version")
		}
		edit.Seen = n
	}
	sheet, findings := table.ParseCSV(file, bytes.NewReader(data))
	if len(findings) > 0 {
		return edit, nil, findingsProblem(findings)
	}
	edit.Rows = sheet.ChangedRows(current)
	return edit, sheet, nil
}
