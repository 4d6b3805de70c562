package group

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Row is the value of the row group/<name> in the table service.
type Row struct {
	Term uint64 `json:"term"`
	// Primary is empty until a promotion has chosen a database.
	Primary     string `json:"primary"`
	Owner       string `json:"owner"`
	Incarnation uint64 `json:"incarnation"`
	// WriteID identifies the write uniquely. If the answer to a compare-and-swap was
	// lost, the WriteID of a later read shows whether the write took effect.
	WriteID string `json:"writer"`
}

// RowKey returns the key of a group's row in the table service.
func RowKey(group string) string { return "group/" + group }

// Encode returns the stored form of the row.
func (r Row) Encode() ([]byte, error) {
	b, err := json.Marshal(r)
	return b, errors.Wrap(err, "encode group row")
}

// DecodeRow decodes the stored form of a row.
func DecodeRow(b []byte) (Row, error) {
	var r Row
	err := json.Unmarshal(b, &r)
	return r, errors.Wrap(err, "decode group row")
}
