package bench

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Outcome is the result of a request as its client sees it.
type Outcome int

const (
	// Served requests were answered.
	Served Outcome = iota
	// Refused requests were answered with a SQLSTATE that states that they did not run.
	Refused
	// Unknown requests were answered with 08007: they may have run.
	Unknown
	// Lost requests ended without an answer: the connection broke or the client timed
	// out.
	Lost
	// Unsent requests were never sent: no host accepted a connection, or every
	// session of the stream was busy.
	Unsent
)

// Write is one attempt to write a value. The sequence numbers of a key increase. A key is
// not written again after an attempt with an unknown outcome, so that a late effect of
// that attempt cannot hide another one.
type Write struct {
	Group, Key string
	Customer   string
	Seq        int
	Session    int
	Sent, Done time.Duration
	Outcome    Outcome
}

// Read is one answered read.
type Read struct {
	Group, Key string
	Customer   string
	// Seq is the sequence number of the value, 0 if there is no value and -1 if the
	// value belongs to another key.
	Seq        int
	Session    int
	Sent, Done time.Duration
	// CoveredUntil is the time up to which the session's token covers all
	// acknowledged writes of the group.
	CoveredUntil time.Duration
	// OwnCustomerCoveredUntil is the time up to which the session's token, or the log
	// position that the host read from the primary for its first read, covers all
	// acknowledged writes of its own customer.
	OwnCustomerCoveredUntil time.Duration
	// Bound is the staleness bound of the route.
	Bound time.Duration
}

// History holds the writes and reads of all clients. It is safe for concurrent use.
type History struct {
	mu     sync.Mutex
	writes []Write
	reads  []Read
}

// AddWrite records a write.
func (h *History) AddWrite(w Write) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writes = append(h.writes, w)
}

// AddRead records a read.
func (h *History) AddRead(r Read) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reads = append(h.reads, r)
}

// Contents are the rows of a group's primary after the run: the value of each key, and
// one log entry for each run of a write.
type Contents struct {
	Values map[string]string
	Log    []string
}

// Findings are the counts of reads, acknowledged writes and violations in a history.
type Findings struct {
	Reads, Acked, Lost, Duplicates, Stale, FalseNotRun int
	// Examples describe the first violations, at most maxExamples.
	Examples []string
}

const maxExamples = 10

func (f *Findings) recordViolation(counter *int, format string, args ...any) {
	*counter++
	if len(f.Examples) < maxExamples {
		f.Examples = append(f.Examples, fmt.Sprintf(format, args...))
	}
}

// valueOf returns the unique value of a write.
func valueOf(key string, seq int) string { return key + "#" + strconv.Itoa(seq) }

// seqOf returns the sequence number of a value of the key, or -1 when the value
// was not written to that key.
func seqOf(key, value string) int {
	text, ok := strings.CutPrefix(value, key+"#")
	seq, err := strconv.Atoi(text)
	if !ok || err != nil {
		return -1
	}
	return seq
}

// groupKey identifies a key, or a value, of a group.
type groupKey struct{ group, key string }

// Check compares the history with the contents of the groups' primaries, given by group.
// It looks for lost and duplicate writes, for stale reads, and for writes that ran
// although they were reported as not run.
func (h *History) Check(contents map[string]Contents) Findings {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := Findings{Reads: len(h.reads)}
	h.checkWrites(&f, contents)
	h.checkReads(&f)
	return f
}

func (h *History) checkWrites(f *Findings, contents map[string]Contents) {
	runs := map[groupKey]int{}    // by group and value
	highest := map[groupKey]int{} // by group and key
	for group, c := range contents {
		for _, value := range c.Log {
			runs[groupKey{group, value}]++
		}
	}
	sentValues := map[groupKey]bool{}
	for _, w := range h.writes {
		id := groupKey{w.Group, w.Key}
		value := groupKey{w.Group, valueOf(w.Key, w.Seq)}
		sentValues[value] = true
		n := runs[value]
		if n > 0 {
			highest[id] = max(highest[id], w.Seq)
		}
		h.checkWrite(f, w, n, contents[w.Group].Values[w.Key] == value.key)
	}
	for value, n := range runs {
		if !sentValues[value] {
			f.recordViolation(&f.Duplicates, "%s: value %s was written %d times but never sent", value.group, value.key, n)
		}
	}
	// Every write updates its key and appends to the log in one transaction, so that
	// the key must hold its highest value in the log.
	for id, seq := range highest {
		if got := contents[id.group].Values[id.key]; got != valueOf(id.key, seq) {
			f.recordViolation(&f.Lost, "%s: key %s holds %q, but the log has sequence number %d", id.group, id.key, got, seq)
		}
	}
}

func (h *History) checkWrite(f *Findings, w Write, runs int, isCurrent bool) {
	value := valueOf(w.Key, w.Seq)
	if w.Outcome == Served {
		f.Acked++
		if runs == 0 {
			f.recordViolation(&f.Lost, "%s: write %s was acknowledged at %v but is missing from the log", w.Group, value, w.Done)
		}
	}
	if runs > 1 {
		f.recordViolation(&f.Duplicates, "%s: write %s ran %d times", w.Group, value, runs)
	}
	if (w.Outcome == Refused || w.Outcome == Unsent) && (runs > 0 || isCurrent) {
		f.recordViolation(&f.FalseNotRun, "%s: write %s was reported as not run at %v but ran", w.Group, value, w.Done)
	}
}

func (h *History) checkReads(f *Findings) {
	acked := map[groupKey][]Write{}
	for _, w := range h.writes {
		if w.Outcome == Served {
			id := groupKey{w.Group, w.Key}
			acked[id] = append(acked[id], w)
		}
	}
	for _, writes := range acked {
		slices.SortFunc(writes, func(a, b Write) int { return a.Seq - b.Seq })
	}
	for _, r := range h.reads {
		if r.Seq < 0 {
			f.recordViolation(&f.Stale, "%s: session %d read key %s at %v and received the value of another key", r.Group, r.Session, r.Key, r.Sent)
			continue
		}
		visibleUntil := max(r.Sent-r.Bound, r.CoveredUntil)
		for _, w := range acked[groupKey{r.Group, r.Key}] {
			ownWrite := w.Session == r.Session && w.Done <= r.Sent
			mustBeVisible := w.Done <= visibleUntil || (w.Customer == r.Customer && w.Done <= r.OwnCustomerCoveredUntil)
			if w.Seq > r.Seq && (ownWrite || mustBeVisible) {
				f.recordViolation(&f.Stale, "%s: session %d of customer %s read %s at %v (staleness bound %v, covered until %v, own customer covered until %v) and missed write %d of session %d of customer %s, acknowledged at %v",
					r.Group, r.Session, r.Customer, valueOf(r.Key, r.Seq), r.Sent, r.Bound, r.CoveredUntil, r.OwnCustomerCoveredUntil, w.Seq, w.Session, w.Customer, w.Done)
				break
			}
		}
	}
}

// longestWriteGap returns the longest time between from and to without an acknowledged
// write to the group, and the end of that gap.
func (h *History) longestWriteGap(group string, from, to time.Duration) (gap, end time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	times := []time.Duration{from, to}
	for _, w := range h.writes {
		if w.Group == group && w.Outcome == Served && w.Done > from && w.Done < to {
			times = append(times, w.Done)
		}
	}
	slices.Sort(times)
	for i := 1; i < len(times); i++ {
		if d := times[i] - times[i-1]; d > gap {
			gap, end = d, times[i]
		}
	}
	return gap, end
}
