// Package statement defines the typed statements that callers send, hosts
// forward and backend servers run, and the ports of the protocols that carry
// them. A protocol decodes into these types once; nothing behind it sees its
// wire form.
package statement

import (
	"context"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// Kind says what a statement does.
type Kind uint8

// Kinds of statements. The values are part of the protocol between hosts.
const (
	// Unknown is a text that the protocol does not define.
	Unknown Kind = iota
	Begin
	// BeginRead opens a transaction that only reads.
	BeginRead
	Commit
	Rollback
	Read
	Write
	// Set gives a session value.
	Set
	// Prepare gives a prepared statement a name in the session.
	Prepare
	// Execute runs a prepared statement.
	Execute
	// Deallocate drops a prepared statement.
	Deallocate
)

var kindNames = [...]string{"unknown", "begin", "begin_read", "commit", "rollback", "read", "write", "set", "prepare", "execute", "deallocate"}

// String returns the name used in logs.
func (k Kind) String() string { return kindNames[k] }

// Statement is one statement of a caller.
type Statement struct {
	// ID is the caller's request id. It is empty for statements that the proxy
	// issues itself.
	ID   string
	Kind Kind
	// Text is the statement as received. Reads, writes, BEGIN and COMMIT travel
	// with it unchanged.
	Text string
	// Name is the value's name of Set, or the prepared statement's name of
	// Prepare, Execute and Deallocate.
	Name string
	// Arguments is what follows the name: the data of Set, the item and data of
	// Execute.
	Arguments string
	// Shape describes the prepared statement of Prepare.
	Shape Shape
}

// Shape is what a prepared statement does.
type Shape struct {
	Writes bool
	Text   string
}

// Position is a point in a group's log. The zero Position is unknown.
type Position struct{ Term, Number uint64 }

// IsZero reports whether the position is unknown.
func (p Position) IsZero() bool { return p == Position{} }

// Less reports whether p comes before q. A position of a higher term comes after
// every position of a lower one.
func (p Position) Less(q Position) bool {
	return p.Term < q.Term || p.Term == q.Term && p.Number < q.Number
}

// Max returns the later of two positions.
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
	// Failed means that the transaction failed and can only be ended.
	Failed
)

// Result is the answer to one statement.
type Result struct {
	Rows []string
	// Signature proves that a backend server ran the statement. It is empty for
	// statements that the proxy answers itself.
	Signature string
	// Err is set when the statement failed.
	Err   *verdict.Error
	State State
	// Position is the backend server's position after the statement.
	Position Position
}

// Target names the backend server to connect to.
type Target struct {
	Address string
	// Group and Server are checked by the backend server, so that an address
	// that serves another one by now is noticed.
	Group, Server string
	// Customer owns the connection.
	Customer string
}

// Status is what a backend server says about itself.
type Status struct {
	Primary bool
	// Term is the newest term that the server knows of.
	Term     uint64
	Position Position
}

// Command is what a Conn runs: a caller's statement, or one of the proxy's own.
type Command struct {
	Statement
	// Floor is the position that the server must have before a read or a BEGIN;
	// zero for none.
	Floor Position
}

// Conn is one connection to a backend server. It is used by one goroutine at a
// time. An error other than a Result's means that the connection is broken and
// must be closed; it carries a verdict.
type Conn interface {
	// Run sends the commands together and returns their results in order.
	Run(deadline time.Time, commands ...Command) ([]Result, error)
	// Status asks the server for its role and position.
	Status(deadline time.Time) (Status, error)
	// Open reports whether the server has not closed the idle connection.
	Open() bool
	// Reset drops session values and prepared statements.
	Reset(deadline time.Time) error
	Close()
}

// Dialer opens connections to backend servers.
type Dialer interface {
	// Dial returns a connection, or an error with verdict NotRun.
	Dial(ctx context.Context, t Target) (Conn, error)
}

// Start is the first message of a caller's session.
type Start struct {
	Route, Key string
}

// Client is a caller's connection as its protocol presents it. Reads and writes
// happen in one goroutine.
type Client interface {
	// Start returns the first message.
	Start() (Start, error)
	// Next returns the next statement, or io.EOF when the caller has ended the
	// session.
	Next() (Statement, error)
	// Welcome accepts the session.
	Welcome() error
	// Refuse answers the first message with an error.
	Refuse(err *verdict.Error) error
	// Answer sends the result of a statement.
	Answer(r Result) error
	// Pending reports whether bytes of a further statement have arrived.
	Pending() bool
	// WakeAt makes Next return an error that IsTimeout recognises at the time;
	// the zero time means never.
	WakeAt(t time.Time)
	// Interrupt makes a blocked Next return such an error at once. It may be
	// called from another goroutine.
	Interrupt()
	Close()
}

// IsTimeout reports whether an error of Next stems from WakeAt or Interrupt.
func IsTimeout(err error) bool {
	t, ok := err.(interface{ Timeout() bool })
	return ok && t.Timeout()
}
