package fleet

import (
	"encoding/json"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// Keys and key prefixes of the table service.
const (
	hostPrefix = "host/"
	rolePrefix = "role/"
	pointerKey = "config/current"
)

// hostRow is the value of a row host/<name>. The combination of writer,
// incarnation and counter is unique to one write.
type hostRow struct {
	Incarnation uint64 `json:"incarnation"`
	Counter     uint64 `json:"counter"`
	// TTLMillis is 0 when the host has released its lease.
	TTLMillis int64  `json:"ttl_ms"`
	Writer    string `json:"writer"`
	Address   string `json:"address"`
	Zone      string `json:"zone"`
}

func (r hostRow) ttl() time.Duration { return time.Duration(r.TTLMillis) * time.Millisecond }

// roleRow is the value of a row role/<name>. The holder is empty after a
// release.
type roleRow struct {
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	Epoch       uint64 `json:"epoch"`
	// Writer distinguishes the writes of different processes.
	Writer string `json:"writer"`
}

// pointerRow is the value of the row config/current.
type pointerRow struct {
	Version config.Version `json:"version"`
	Object  string         `json:"object"`
	Writer  string         `json:"writer"`
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil { // the row types hold only strings and integers
		panic(err)
	}
	return b
}

// decodeRow returns the zero value for a row that does not exist or cannot be
// decoded.
func decodeRow[T any](r store.Row) (v T) {
	if r.Revision != 0 {
		_ = json.Unmarshal(r.Value, &v)
	}
	return v
}
