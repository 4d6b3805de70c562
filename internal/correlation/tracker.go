package correlation

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberryhinge/cranberryhinge/internal/statement"
)

// Decision is what to do with an answer.
type Decision uint8

// Decisions.
const (
	// Accept means that the answer is that of the outstanding statement.
	Accept Decision = iota
	// Skip means that the answer belongs to an earlier statement. The answer to the
	// outstanding one follows.
	Skip
	// Refuse means that the answer may or may not be that of the outstanding statement,
	// which may have run. The connection has to be closed.
	Refuse
)

// String returns the name that is used in logs and counters.
func (d Decision) String() string { return [...]string{"accepted", "skipped", "refused"}[d] }

// Reason says why an answer may not belong to the outstanding statement.
type Reason string

// Reasons.
const (
	RepeatedSignature Reason = "repeated_signature"
	RepeatedError     Reason = "repeated_error"
	// RepeatedStatus and RepeatedSuccess are reasons why an accepted answer proves nothing.
	RepeatedStatus  Reason = "repeated_status"
	RepeatedSuccess Reason = "repeated_success"
	// OvertakenError means that an error may be the answer to an unsigned statement before,
	// for which a repeated success was accepted.
	OvertakenError      Reason = "overtaken_error"
	MissingSignature    Reason = "missing_signature"
	UnexpectedSignature Reason = "unexpected_signature"
	UnexpectedRows      Reason = "unexpected_rows"
	UnexpectedState     Reason = "unexpected_state"
	Incomplete          Reason = "incomplete"
	// Unsolicited means that bytes arrived while no statement was outstanding.
	Unsolicited Reason = "unsolicited"
)

// Finding is the decision on one answer. Reason is empty if nothing speaks against it.
type Finding struct {
	Decision Decision
	Reason   Reason
}

// Limits of what a connection remembers. An answer that is repeated after so many others
// is not recognised any more.
const (
	maxSignatures = 256
	maxErrors     = 32
	maxRows       = 32
)

// Tracker holds what a connection has received. The zero Tracker is one that has received
// the answer to the start of the session.
type Tracker struct {
	// state is the state after the last accepted answer.
	state      statement.State
	signatures recentSet
	errors     recentSet
	statusRows recentSet
	// hasUnsigned holds, by state, whether an unsigned success was received.
	hasUnsigned [statement.Failed + 1]bool
	// unconfirmed is set while an accepted unsigned success may have been a repetition, so
	// that the error which the statement got may follow.
	unconfirmed bool
	// reportsUnconfirmed is set once an accepted answer to a status query may have been a
	// repetition, so that every later one may be that to the query before.
	reportsUnconfirmed bool
}

// Check decides on the next answer, where kind is the kind of the outstanding statement.
// complete is set if the answer had a success or error message before the state.
func (t *Tracker) Check(kind statement.Kind, r statement.Result, complete bool) Finding {
	f := t.decide(kind, r, complete)
	// Outside a transaction, of the unsigned statements only BEGIN can fail.
	mayHaveFailed := f.Reason == RepeatedSuccess && (t.state != statement.Idle || isBegin(kind))
	if f.Decision == Accept {
		t.record(kind, r)
		t.unconfirmed = t.unconfirmed && r.Signature == "" || mayHaveFailed
		t.reportsUnconfirmed = t.reportsUnconfirmed || f.Reason == RepeatedStatus
	}
	return f
}

func (t *Tracker) decide(kind statement.Kind, r statement.Result, complete bool) Finding {
	if r.Signature != "" && t.signatures.contains(r.Signature) {
		return Finding{Skip, RepeatedSignature}
	}
	if misfit := t.misfit(kind, r, complete); misfit != "" {
		if t.wasReceived(r, complete) {
			return Finding{Skip, misfit}
		}
		return Finding{Refuse, misfit}
	}
	switch {
	case kind == statement.QueryStatus:
		// A report of an earlier query, or its error, promises nothing to callers.
		if t.reportsUnconfirmed || t.wasReceived(r, complete) {
			return Finding{Accept, RepeatedStatus}
		}
	case r.Err != nil && t.errors.contains(r.Err.Message):
		return Finding{Refuse, RepeatedError}
	case r.Err != nil && t.unconfirmed:
		return Finding{Refuse, OvertakenError}
	case r.Err == nil && r.Signature == "" && t.wasReceived(r, complete):
		return Finding{Accept, RepeatedSuccess}
	}
	return Finding{}
}

func isBegin(kind statement.Kind) bool { return kind == statement.Begin || kind == statement.BeginRead }

// misfit returns why the answer cannot be that of a statement of the kind, if so.
func (t *Tracker) misfit(kind statement.Kind, r statement.Result, complete bool) Reason {
	switch {
	case !complete:
		return Incomplete
	case r.Err != nil:
	case isSigned(kind):
		if r.Signature == "" {
			return MissingSignature
		}
	case r.Signature != "":
		return UnexpectedSignature
	case len(r.Rows) != unsignedRows(kind):
		return UnexpectedRows
	case kind != statement.QueryStatus && r.State != t.stateAfter(kind):
		return UnexpectedState
	}
	return ""
}

// wasReceived reports whether the connection has received an answer that looks the same.
// An answer without a success or an error looks like that to the start of the session.
func (t *Tracker) wasReceived(r statement.Result, complete bool) bool {
	switch {
	case !complete:
		return len(r.Rows) == 0 && r.State == statement.Idle
	case r.Err != nil:
		return t.errors.contains(r.Err.Message)
	case r.Signature != "":
		return false
	case len(r.Rows) == 1:
		return t.statusRows.contains(r.Rows[0])
	}
	return len(r.Rows) == 0 && t.hasUnsigned[r.State]
}

// record records an accepted answer.
func (t *Tracker) record(kind statement.Kind, r statement.Result) {
	t.state = r.State
	switch {
	case r.Err != nil:
		t.errors.add(r.Err.Message, maxErrors)
	case r.Signature != "":
		t.signatures.add(r.Signature, maxSignatures)
	case kind == statement.QueryStatus:
		t.statusRows.add(r.Rows[0], maxRows)
	default:
		t.hasUnsigned[r.State] = true
	}
}

// isSigned reports whether the success of a statement carries a signature.
func isSigned(kind statement.Kind) bool {
	switch kind {
	case statement.Read, statement.Write, statement.Execute, statement.Commit:
		return true
	}
	return false
}

// unsignedRows returns the number of rows of an unsigned success.
func unsignedRows(kind statement.Kind) int {
	if kind == statement.QueryStatus {
		return 1
	}
	return 0
}

// stateAfter returns the state after the success of an unsigned statement.
func (t *Tracker) stateAfter(kind statement.Kind) statement.State {
	switch {
	case isBegin(kind):
		return statement.InTransaction
	case kind == statement.Rollback:
		return statement.Idle
	}
	return t.state
}

// recentSet holds hashes of the last texts that were added.
type recentSet struct {
	hashes []uint64
	next   int
}

func (s *recentSet) contains(text string) bool {
	return slices.Contains(s.hashes, xxhash.Sum64String(text))
}

// add adds a text, in place of the oldest one if there are limit of them.
func (s *recentSet) add(text string, limit int) {
	h := xxhash.Sum64String(text)
	if len(s.hashes) < limit {
		s.hashes = append(s.hashes, h)
		return
	}
	s.hashes[s.next] = h
	s.next = (s.next + 1) % limit
}
