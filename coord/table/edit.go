package table

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"

	"github.com/pkg/errors"
)

const (
	// MaxEditRows is the maximum number of rows in one edit.
	MaxEditRows = 10000
	// maxIDLength is the maximum length of an edit ID and of an editor's name, in bytes.
	maxIDLength = 128
)

// Row is one row of any kind. Only the pointer for its Kind is set.
type Row struct {
	Kind     Kind      `json:"kind"`
	Tier     *Tier     `json:"tier,omitempty"`
	Account  *Account  `json:"account,omitempty"`
	Endpoint *Endpoint `json:"endpoint,omitempty"`
}

// Key identifies a row.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// RowEdit is the change that an edit makes to one row.
type RowEdit struct {
	Row
	// Name is the name of the row; the new values, if any, hold the same name.
	Name string `json:"name"`
	// Base is the version of the row that the editor saw; 0 = the row did not exist.
	Base int64 `json:"base"`
	// Delete removes the row; the values must then be unset.
	Delete bool `json:"delete,omitempty"`
}

// Key returns the key of the edited row.
func (r RowEdit) Key() Key {
	return Key{Kind: r.Kind, Name: r.Name}
}

// Edit is an operator's change to one or more rows. It is applied atomically.
type Edit struct {
	// ID is unique. Of several records with the same ID only the first takes effect, so
	// that an append can be retried.
	ID string `json:"id"`
	// Editor is the name of the operator, for the history.
	Editor string `json:"editor"`
	// AtMS is the wall-clock time of the submitting process in Unix milliseconds, for the history only.
	AtMS int64 `json:"at_ms"`
	// Seen is the table version that the editor saw.
	Seen int64 `json:"seen"`
	// Rows are the edited rows; no row may occur twice.
	Rows []RowEdit `json:"rows"`
}

// recordType is the type of a record in the log stream.
type recordType string

const (
	recordEdit     recordType = "edit"
	recordSnapshot recordType = "snapshot"
)

// editRecord is the JSON form of an edit in the log.
type editRecord struct {
	Type recordType `json:"type"`
	Edit
}

// EncodeEdit encodes an edit as a log record.
func EncodeEdit(e Edit) ([]byte, error) {
	data, err := json.Marshal(editRecord{Type: recordEdit, Edit: e})
	return data, errors.Wrap(err, "encode edit")
}

// DecodeEdit decodes the log record of an edit. It rejects unknown fields: a reader
// that ignored them would apply only a part of an edit that a newer reader applies whole.
func DecodeEdit(data []byte) (Edit, error) {
	var r editRecord
	if err := decodeStrict(data, &r); err != nil {
		return Edit{}, errors.Wrap(err, "decode edit")
	}
	if r.Type != recordEdit {
		return Edit{}, errors.Errorf("decode edit: unexpected record type %q", r.Type)
	}
	if err := checkEdit(r.Edit); err != nil {
		return Edit{}, err
	}
	for i := range r.Rows {
		r.Rows[i].Row = r.Rows[i].normalized()
	}
	return r.Edit, nil
}

// decodeStrict decodes one JSON value. It rejects unknown fields and any data after
// the value.
func decodeStrict(data []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.New("unexpected data after the JSON record")
	}
	return nil
}

// checkEdit checks the lengths of an edit's fields. It does not check the rows.
func checkEdit(e Edit) error {
	switch {
	case e.ID == "" || len(e.ID) > maxIDLength:
		return errors.Errorf("edit ID must have 1 to %d bytes", maxIDLength)
	case len(e.Editor) > maxIDLength:
		return errors.Errorf("editor name must have at most %d bytes", maxIDLength)
	case len(e.Rows) == 0 || len(e.Rows) > MaxEditRows:
		return errors.Errorf("edit must have 1 to %d rows", MaxEditRows)
	}
	return nil
}

// normalized returns a deep copy in which empty lists are nil, so that equal
// rows have the same encoding.
func (r Row) normalized() Row {
	out := Row{Kind: r.Kind}
	if r.Tier != nil {
		tier := *r.Tier
		out.Tier = &tier
	}
	if r.Account != nil {
		account := *r.Account
		account.Tiers = cloneList(account.Tiers)
		account.Endpoints = cloneList(account.Endpoints)
		out.Account = &account
	}
	if r.Endpoint != nil {
		endpoint := *r.Endpoint
		endpoint.NonIdempotent = cloneList(endpoint.NonIdempotent)
		out.Endpoint = &endpoint
	}
	return out
}

// cloneList copies a list; the copy of an empty list is nil.
func cloneList(list []string) []string {
	if len(list) == 0 {
		return nil
	}
	return slices.Clone(list)
}

// name returns the name held in the row's values. ok is false unless the values for
// the row's kind are set and no others.
func (r Row) name() (name string, ok bool) {
	switch r.Kind {
	case KindTier:
		if r.Tier != nil && r.Account == nil && r.Endpoint == nil {
			return r.Tier.Name, true
		}
	case KindAccount:
		if r.Account != nil && r.Tier == nil && r.Endpoint == nil {
			return r.Account.Name, true
		}
	case KindEndpoint:
		if r.Endpoint != nil && r.Tier == nil && r.Account == nil {
			return r.Endpoint.Name, true
		}
	}
	return "", false
}

// empty reports whether the row has no values.
func (r Row) empty() bool {
	return r.Tier == nil && r.Account == nil && r.Endpoint == nil
}
