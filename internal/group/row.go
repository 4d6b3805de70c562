package group

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Row is the value of the table service's row group/<name>.
type Row struct {
	Term uint64 `json:"term"`
	// Primary is empty while a promotion has not chosen a database yet.
	Primary     string `json:"primary"`
	Owner       string `json:"owner"`
	Incarnation uint64 `json:"incarnation"`
	// Writer is unique for each write. It settles a compare-and-swap whose
	// answer was lost.
	Writer string `json:"writer"`
}

// RowKey returns the key of a group's row.
func RowKey(group string) string { return "group/" + group }

// Encode returns the stored form of the row.
func (r Row) Encode() ([]byte, error) {
	b, err := json.Marshal(r)
	return b, errors.Wrap(err, "encode group row")
}

// DecodeRow reads the stored form of a row.
func DecodeRow(b []byte) (Row, error) {
	var r Row
	err := json.Unmarshal(b, &r)
	return r, errors.Wrap(err, "decode group row")
}
