package usage

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// maxRecordBytes bounds the row. The store takes rows of 64 KiB.
const maxRecordBytes = 48 << 10

// maxLateExecution is how long after it was sent a call to the platform may be carried
// out.
const maxLateExecution = 6 * time.Second

// Record is the content of the reporter's row. Times with the suffix Store are readings
// of the store's clock.
type Record struct {
	// Era is the era of the store in which the record was written.
	Era store.Era `json:"era,omitempty"`
	// Epoch is that of the newest reporter, Machine its address.
	Epoch   uint64 `json:"epoch"`
	Machine string `json:"machine"`
	// ActAfterStore is the time before which Machine sends nothing, because it was the
	// reporter before its predecessor.
	ActAfterStore time.Duration `json:"act_after,omitempty"`
	// QuietUntilStore is the time before which no machine sends anything but the reporter
	// that went on from an earlier era of the store: the former machines are not known.
	QuietUntilStore time.Duration `json:"quiet_until,omitempty"`
	// Former are the machines that were the reporter a short time ago.
	Former []Former `json:"former,omitempty"`
	// TrueMinusStore is the true time minus the store's clock, 0 if not known.
	TrueMinusStore time.Duration `json:"true_minus_store"`
	// SkipEndedStore is the time by which a window has to have ended to be skipped if its
	// counts are not fixed, because a reporter of an earlier era of the store may have
	// reported it; 0 if none has.
	SkipEndedStore time.Duration `json:"skip_ended,omitempty"`
	// Window is the length of the windows that Next and Fixed number.
	Window time.Duration `json:"window,omitempty"`
	// Next is the first window whose counts are not fixed, 0 before the first one.
	Next int64 `json:"next"`
	// Fixed are the windows whose counts are fixed and that may not have been accepted,
	// in ascending order.
	Fixed []Counts `json:"fixed,omitempty"`
}

// Former is a machine that was replaced as the reporter at the time UntilStore.
type Former struct {
	Machine    string        `json:"machine"`
	UntilStore time.Duration `json:"until"`
}

// adopted returns the record after a machine has become the reporter at the time now of
// the store's clock. A machine that was the reporter before its predecessor waits until
// none of its earlier reports can have been carried out within the lease.
func (r Record) adopted(epoch uint64, machine string, now, lease time.Duration) Record {
	next := r
	next.Epoch = epoch
	if r.Machine == machine {
		return next
	}
	next.Machine, next.ActAfterStore, next.Former = machine, 0, nil
	former := r.Former
	if r.Machine != "" {
		former = append(slices.Clone(former), Former{r.Machine, now})
	}
	for _, f := range former {
		end := f.UntilStore + lease + maxLateExecution
		switch {
		case end <= now:
		case f.Machine == machine:
			next.ActAfterStore = max(next.ActAfterStore, end)
		default:
			next.Former = append(next.Former, f)
		}
	}
	return next
}

// Counts are the requests of each customer in a window.
type Counts struct {
	Window   int64            `json:"window"`
	Requests map[string]int64 `json:"requests"`
}

func (r Record) encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic("usage: " + err.Error()) // cannot happen: the type holds only strings and numbers
	}
	return data
}

func decodeRecord(data []byte) (r Record, ok bool) {
	ok = json.Unmarshal(data, &r) == nil && r.Epoch > 0 && r.Next >= 0
	for i, f := range r.Fixed {
		ok = ok && f.Window < r.Next && (i == 0 || f.Window > r.Fixed[i-1].Window)
	}
	return r, ok
}
