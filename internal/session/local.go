package session

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// localStatement is a statement that the entry host answers itself.
type localStatement struct {
	// tag is the command tag of the answer.
	tag   string
	token Token
	// deallocate names the prepared statement to drop; deallocateAll drops all.
	deallocate    string
	deallocateAll bool
	err           *verdict.Error
}

// localStatementFor returns the local handling of a statement, or nil when a
// backend server has to run it.
func (m *Machine) localStatementFor(kind command, text string) *localStatement {
	switch kind {
	case commandSetToken:
		return m.localSetToken(text)
	case commandDiscardAll:
		return &localStatement{tag: "DISCARD ALL", deallocateAll: true}
	case commandDeallocate:
		w := firstWords(text)
		name := w[len(w)-1]
		if name == "all" {
			return &localStatement{tag: "DEALLOCATE ALL", deallocateAll: true}
		}
		return &localStatement{tag: "DEALLOCATE", deallocate: strings.Trim(name, `"`)}
	default:
		return nil
	}
}

func (m *Machine) localSetToken(text string) *localStatement {
	value, ok := setTokenValue(text)
	if !ok {
		return &localStatement{err: invalidTokenError("expected SET " + tokenSetting + " = 'group:term:position'")}
	}
	t, err := ParseToken(value)
	if err != nil {
		return &localStatement{err: invalidTokenError(err.Error())}
	}
	if t.Group != m.group {
		return &localStatement{err: invalidTokenError("the group of the token differs from the group of the route")}
	}
	return &localStatement{tag: "SET", token: t}
}

func invalidTokenError(message string) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ProtocolViolation, "%s", message)
}

func mixedBatchError() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.UnsupportedSessionState,
		"a statement that the proxy answers itself cannot share a batch with other statements")
}

// apply executes the statement on the session state and returns its
// CommandComplete, or ErrorResponse.
func (l *localStatement) apply(m *Machine) []byte {
	if l.err != nil {
		return errorResponse("ERROR", l.err)
	}
	m.RaiseFloor(l.token)
	if l.deallocateAll {
		clear(m.statements)
	}
	delete(m.statements, l.deallocate)
	out, _ := (&pgproto3.CommandComplete{CommandTag: []byte(l.tag)}).Encode(nil)
	return out
}

func (m *Machine) localParse(name string, s *Statement) (Step, *verdict.Error) {
	if s.local.err != nil {
		return Step{}, s.local.err
	}
	if len(m.collected) > 0 || m.partSent {
		return Step{}, mixedBatchError()
	}
	m.storeStatement(name, s)
	m.localBatch = true
	m.localReplies, _ = (&pgproto3.ParseComplete{}).Encode(m.localReplies)
	return Step{}, nil
}

func (m *Machine) localBind(s *Statement) (Step, *verdict.Error) {
	if len(m.collected) > 0 || m.partSent {
		return Step{}, mixedBatchError()
	}
	m.localBatch = true
	m.unnamed = s
	m.localReplies, _ = (&pgproto3.BindComplete{}).Encode(m.localReplies)
	return Step{}, nil
}

func (m *Machine) localExecute() Step {
	if m.unnamed != nil && m.unnamed.local != nil {
		m.localReplies = append(m.localReplies, m.unnamed.local.apply(m)...)
	}
	return Step{}
}

func (m *Machine) localDescribeOrClose(typ, kind byte, name string) (Step, *verdict.Error) {
	switch {
	case typ == 'C':
		if kind == 'S' {
			delete(m.statements, name)
		}
		m.localReplies, _ = (&pgproto3.CloseComplete{}).Encode(m.localReplies)
	case kind == 'S':
		if s := m.statements[name]; s == nil || s.local == nil {
			return Step{}, mixedBatchError()
		}
		m.localReplies, _ = (&pgproto3.ParameterDescription{}).Encode(m.localReplies)
		m.localReplies, _ = (&pgproto3.NoData{}).Encode(m.localReplies)
	default:
		m.localReplies, _ = (&pgproto3.NoData{}).Encode(m.localReplies)
	}
	return Step{}, nil
}

// sqlStateAdminShutdown is the SQLSTATE with which the proxy ends a session between
// statements.
const sqlStateAdminShutdown = "57P01"

func errorResponse(severity string, e *verdict.Error) []byte {
	return encodeError(severity, e.SQLState(), e)
}

// encodeError encodes an ErrorResponse whose detail field contains the verdict and
// the reason.
func encodeError(severity, code string, e *verdict.Error) []byte {
	out, _ := (&pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                code,
		Message:             e.Message,
		Detail:              "verdict " + e.Verdict.String() + ", reason " + string(e.Reason),
	}).Encode(nil)
	return out
}

// FatalResponse encodes the ErrorResponse of an error that ends the session.
func FatalResponse(e *verdict.Error) []byte { return errorResponse("FATAL", e) }

// ShutdownResponse encodes the ErrorResponse that ends a session between statements.
func ShutdownResponse(e *verdict.Error) []byte { return encodeError("FATAL", sqlStateAdminShutdown, e) }

func parameterStatus(name, value string) []byte {
	out, _ := (&pgproto3.ParameterStatus{Name: name, Value: value}).Encode(nil)
	return out
}

func readyForQuery(status byte) []byte { return []byte{'Z', 0, 0, 0, 5, status} }
