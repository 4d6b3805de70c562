package verdict

import (
	"fmt"

	"github.com/pkg/errors"
)

// Verdict states whether a request may have taken effect.
type Verdict uint8

const (
	// MayHaveRun is the zero value, because it is the safe assumption.
	MayHaveRun Verdict = iota
	// NotRun means that no byte of the request reached a backend server, or
	// that the backend server itself reported a rollback.
	NotRun
	// Ran means that the request completed.
	Ran
)

// String returns the name used in logs and counters.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	default:
		return "may_have_run"
	}
}

// Reason names the cause of a refusal or a retry. The text of a Reason is the
// name of its counter.
type Reason string

// Reasons for refusing or retrying a request.
const (
	UnknownRoute            Reason = "unknown_route"
	BadKey                  Reason = "bad_key"
	WithdrawnKey            Reason = "withdrawn_key"
	WrongCustomer           Reason = "wrong_customer"
	StaleConfiguration      Reason = "stale_configuration"
	RateLimited             Reason = "rate_limited"
	QueueFull               Reason = "queue_full"
	DeadlineExpected        Reason = "deadline_expected"
	DeadlineExceeded        Reason = "deadline_exceeded"
	NoFreshReplica          Reason = "no_fresh_replica"
	NoPrimary               Reason = "no_primary"
	ZoneOut                 Reason = "zone_out"
	ServerLeaving           Reason = "server_leaving"
	Draining                Reason = "draining"
	UnsupportedSessionState Reason = "session_state_unsupported"
	ProtocolViolation       Reason = "protocol_violation"
	MessageTooBig           Reason = "message_too_big"
	ResultTooBig            Reason = "result_too_big"
	TLSRequired             Reason = "tls_required"
	WrongHome               Reason = "wrong_home"
	HomeUnreachable         Reason = "home_unreachable"
	BackendUnreachable      Reason = "backend_unreachable"
	ConnectionLost          Reason = "connection_lost"
	AuthorityLost           Reason = "authority_lost"
	AnswerOverdue           Reason = "answer_overdue"
	Cancelled               Reason = "cancelled"
	TooManyClients          Reason = "too_many_clients"
	// MemoryLimit means that the memory that this host has for clients is in use.
	MemoryLimit            Reason = "memory_limit"
	IdleTransactionTimeout Reason = "idle_transaction_timeout"
	// TransactionAborted means that a transaction was rolled back and has no
	// effect.
	TransactionAborted Reason = "transaction_aborted"
	// ReadOnly means that the server accepts no writes, because it is not, or no
	// longer, the primary.
	ReadOnly         Reason = "read_only"
	ServerBusy       Reason = "server_busy"
	ConnectionLimit  Reason = "connection_limit"
	WrongServer      Reason = "wrong_server"
	UnknownStatement Reason = "unknown_statement"
	// AnswerMismatch means that the server sent an answer that is not that of the
	// statement.
	AnswerMismatch Reason = "answer_mismatch"
	// StatementFailed means that the server executed the statement and reported an
	// error.
	StatementFailed Reason = "statement_failed"
	Internal        Reason = "internal"
)

// sqlStates maps each Reason to the SQLSTATE sent when the request did not run.
var sqlStates = map[Reason]string{
	UnknownRoute:            "3D000",
	BadKey:                  "28P01",
	WithdrawnKey:            "28P01",
	WrongCustomer:           "28000",
	StaleConfiguration:      "57P03",
	RateLimited:             "53400",
	QueueFull:               "53300",
	DeadlineExpected:        "57014",
	DeadlineExceeded:        "57014",
	NoFreshReplica:          "57P03",
	NoPrimary:               "57P03",
	ZoneOut:                 "57P03",
	ServerLeaving:           "57P03",
	Draining:                "57P01",
	UnsupportedSessionState: "0A000",
	ProtocolViolation:       "08P01",
	MessageTooBig:           "54000",
	ResultTooBig:            "54000",
	TLSRequired:             "28000",
	WrongHome:               "57P03",
	HomeUnreachable:         "57P03",
	BackendUnreachable:      "57P03",
	ConnectionLost:          "08006",
	AuthorityLost:           "57P03",
	AnswerOverdue:           "57014",
	Cancelled:               "57014",
	TooManyClients:          "53300",
	MemoryLimit:             "53200",
	IdleTransactionTimeout:  "25P03",
	TransactionAborted:      "40000",
	ReadOnly:                "25006",
	ServerBusy:              "53300",
	ConnectionLimit:         "53300",
	WrongServer:             "57P03",
	UnknownStatement:        "26000",
	AnswerMismatch:          "08P01",
	StatementFailed:         "XX000",
	Internal:                "XX000",
}

// sqlStateResolutionUnknown is the SQLSTATE transaction_resolution_unknown.
const sqlStateResolutionUnknown = "08007"

// Reasons returns every Reason with a SQLSTATE, in no particular order. It is
// used to register counters.
func Reasons() []Reason {
	all := make([]Reason, 0, len(sqlStates))
	for r := range sqlStates {
		all = append(all, r)
	}
	return all
}

// Error is a refusal or failure with its Verdict.
type Error struct {
	Verdict Verdict
	Reason  Reason
	Message string
}

// New returns an Error with a formatted message.
func New(v Verdict, r Reason, format string, args ...any) *Error {
	return &Error{Verdict: v, Reason: r, Message: fmt.Sprintf(format, args...)}
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s (%s)", e.Reason, e.Message, e.Verdict)
}

// SQLState returns the SQLSTATE reported to the client: 08007 when the request
// may have run, otherwise that of the Reason.
func (e *Error) SQLState() string {
	if e.Verdict == MayHaveRun {
		return sqlStateResolutionUnknown
	}
	if s, ok := sqlStates[e.Reason]; ok {
		return s
	}
	return sqlStates[Internal]
}

// From returns the Error in err's chain. Any other error becomes MayHaveRun
// with the reason Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(MayHaveRun, Internal, "%v", err)
}

// Retryable reports whether the proxy may repeat the request without asking the
// client: the request did not run, or it is a repeatable read and the client
// has received nothing of its answer.
func (e *Error) Retryable(repeatableRead, answerStarted bool) bool {
	if e.Verdict == NotRun {
		return true
	}
	return e.Verdict == MayHaveRun && repeatableRead && !answerStarted
}
