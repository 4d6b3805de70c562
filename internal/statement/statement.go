// Package statement defines the statements that clients send, hosts forward and
// backend servers run, and the interfaces that a client protocol and a backend
// protocol implement. A protocol implementation decodes its wire format into these
// types; no other code depends on the wire format.
package statement

import (
	"context"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// Kind is the kind of a statement.
type Kind uint8

// Kinds of statements. The values are part of the protocol between hosts.
const (
	// Unknown is a statement that the protocol does not define.
	Unknown Kind = iota
	Begin
	// BeginRead opens a read-only transaction.
	BeginRead
	Commit
	Rollback
	Read
	Write
	// Set sets a session value.
	Set
	// Prepare defines a prepared statement under a name of the session.
	Prepare
	// Execute runs a prepared statement.
	Execute
	// Deallocate drops a prepared statement.
	Deallocate
	// QueryStatus and ResetSession are statements that only the proxy itself issues.
	QueryStatus
	ResetSession
)

var kindNames = [...]string{"unknown", "begin", "begin_read", "commit", "rollback", "read", "write", "set", "prepare", "execute", "deallocate", "query_status", "reset_session"}

// String returns the name of the kind that is used in logs.
func (k Kind) String() string { return kindNames[k] }

// Statement is one statement of a client.
type Statement struct {
	// ID is the client's request ID. It is empty for statements that the proxy
	// issues itself.
	ID   string
	Kind Kind
	// Text is the statement as received. Reads, writes, BEGIN and COMMIT are sent to
	// the backend server with this text unchanged.
	Text string
	// Name is the name of the session value for Set, and of the prepared statement
	// for Prepare, Execute and Deallocate.
	Name string
	// Arguments is the text after the name: the value for Set, the item and its data
	// for Execute.
	Arguments string
	// Shape is the content of the prepared statement for Prepare.
	Shape Shape
}

// Shape is the content of a prepared statement, without its name and arguments.
type Shape struct {
	// Writes reports whether the statement writes.
	Writes bool
	Text   string
}

// Position is a position in the replication log of a group. The zero Position means
// that the position is unknown.
type Position struct{ Term, Number uint64 }

// IsZero reports whether p is unknown.
func (p Position) IsZero() bool { return p == Position{} }

// Less reports whether p precedes q. Positions are ordered by term, then by number.
func (p Position) Less(q Position) bool {
	return p.Term < q.Term || p.Term == q.Term && p.Number < q.Number
}

// Max returns the later of p and q.
func Max(p, q Position) Position {
	if p.Less(q) {
		return q
	}
	return p
}

// State is the state of a session or a backend connection between statements.
type State uint8

// States of a session.
const (
	Idle State = iota
	// InTransaction means that a transaction is open.
	InTransaction
	// Failed means that the transaction failed; it accepts only COMMIT and ROLLBACK.
	Failed
)

// Result is the result of one statement.
type Result struct {
	Rows []string
	// Signature proves that a backend server ran the statement. It is empty for
	// statements that the proxy answers itself.
	Signature string
	// Err is set when the statement failed.
	Err *verdict.Error
	// State is the state of the session or connection after the statement.
	State State
	// Position is the log position of the backend server after the statement.
	Position Position
	// Unconfirmed is set if the result may be that of an earlier statement, which the
	// server has sent again.
	Unconfirmed bool
}

// Target identifies the backend server to connect to.
type Target struct {
	Address string
	// Group and Server are checked by the backend server, so that a connection to an
	// address that has been reassigned to another server is detected.
	Group, Server string
	// Customer is the customer that the connection belongs to.
	Customer string
}

// Status is the role and log position that a backend server reports.
type Status struct {
	Primary bool
	// Term is the newest term that the server has recorded.
	Term     uint64
	Position Position
	// Repeated is set if the connection has received the same report before. It may be
	// out of date.
	Repeated bool
}

// Command is a statement that a Conn runs, issued by a client or by the proxy itself.
type Command struct {
	Statement
	// Floor is the log position that the server must have applied before it runs a
	// read or a BEGIN; zero means no such position.
	Floor Position
}

// Conn is a connection to a backend server. It is used by one goroutine at a time.
// An error that a method returns, in contrast to Result.Err, means that the
// connection is broken and must be closed; it contains a verdict.
type Conn interface {
	// Run sends the commands together and returns their results in order.
	Run(deadline time.Time, commands ...Command) ([]Result, error)
	// Status queries the role and the log position of the server.
	Status(deadline time.Time) (Status, error)
	// IsOpen reports whether the connection, which is idle, is still open. It returns
	// false when the server has closed it.
	IsOpen() bool
	// Reset drops the session values and prepared statements of the connection.
	Reset(deadline time.Time) error
	// Number identifies the connection in the logs of this host.
	Number() uint64
	Close()
}

// Dialer opens connections to backend servers.
type Dialer interface {
	// Dial opens a connection. An error has the verdict NotRun.
	Dial(ctx context.Context, t Target) (Conn, error)
}

// Start is the first message of a client: the requested route and the client's key.
type Start struct {
	Route, Key string
}

// Client is a client connection, as implemented by a client protocol. All methods but
// Interrupt are called from one goroutine at a time.
type Client interface {
	// Start reads the first message.
	Start() (Start, error)
	// Next reads the next statement. It returns io.EOF when the client has ended the
	// session.
	Next() (Statement, error)
	// Accept accepts the session.
	Accept() error
	// Refuse answers the first message with an error.
	Refuse(err *verdict.Error) error
	// Answer sends the result of a statement.
	Answer(r Result) error
	// Pending reports whether bytes of another statement have been received.
	Pending() bool
	// SetDeadline sets the time at which Next returns an error that IsTimeout
	// recognises, unless a statement has been received; the zero time means no timeout.
	SetDeadline(t time.Time)
	// Interrupt makes a blocked Next return an error that IsTimeout recognises, unless a
	// statement has been received. It may be called from another goroutine.
	Interrupt()
	Close()
}

// IsTimeout reports whether an error returned by Next was caused by SetDeadline or
// Interrupt.
func IsTimeout(err error) bool {
	t, ok := err.(interface{ Timeout() bool })
	return ok && t.Timeout()
}
