package session

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// localStatement is a statement that the entry host answers itself.
type localStatement struct {
	tag    string
	token  Token
	forget string
	all    bool
	err    *verdict.Error
}

// localFor returns the local handling of a recognised statement, or nil.
func (m *Machine) localFor(kind command, text string) *localStatement {
	switch kind {
	case commandSetToken:
		return m.localSetToken(text)
	case commandDiscardAll:
		return &localStatement{tag: "DISCARD ALL", all: true}
	case commandDeallocate:
		w := words(text)
		name := w[len(w)-1]
		if name == "all" {
			return &localStatement{tag: "DEALLOCATE ALL", all: true}
		}
		return &localStatement{tag: "DEALLOCATE", forget: strings.Trim(name, `"`)}
	default:
		return nil
	}
}

func (m *Machine) localSetToken(text string) *localStatement {
	value, ok := setTokenValue(text)
	if !ok {
		return &localStatement{err: invalidToken("want SET " + tokenSetting + " = 'group:term:position'")}
	}
	t, err := ParseToken(value)
	if err != nil {
		return &localStatement{err: invalidToken(err.Error())}
	}
	if t.Group != m.group {
		return &localStatement{err: invalidToken("the token belongs to another group than the route")}
	}
	return &localStatement{tag: "SET", token: t}
}

func invalidToken(message string) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ProtocolViolation, "%s", message)
}

func mixedBatch() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.Unsupported,
		"statements that the proxy answers itself have to be sent in a batch of their own")
}

// run applies the statement and returns its completion message.
func (l *localStatement) run(m *Machine) []byte {
	if l.err != nil {
		return errorResponse("ERROR", l.err)
	}
	m.Raise(l.token)
	if l.all {
		clear(m.statements)
	}
	delete(m.statements, l.forget)
	out, _ := (&pgproto3.CommandComplete{CommandTag: []byte(l.tag)}).Encode(nil)
	return out
}

func (m *Machine) localParse(name string, s *Statement) (Step, *verdict.Error) {
	if s.local.err != nil {
		return Step{}, s.local.err
	}
	if len(m.out) > 0 || m.started {
		return Step{}, mixedBatch()
	}
	m.store(name, s)
	m.local = true
	m.localOut, _ = (&pgproto3.ParseComplete{}).Encode(m.localOut)
	return Step{}, nil
}

func (m *Machine) localBind(s *Statement) (Step, *verdict.Error) {
	if len(m.out) > 0 || m.started {
		return Step{}, mixedBatch()
	}
	m.local = true
	m.unnamed = s
	m.localOut, _ = (&pgproto3.BindComplete{}).Encode(m.localOut)
	return Step{}, nil
}

func (m *Machine) localExecute() Step {
	if m.unnamed != nil && m.unnamed.local != nil {
		m.localOut = append(m.localOut, m.unnamed.local.run(m)...)
	}
	return Step{}
}

func (m *Machine) localDescribeOrClose(typ, kind byte, name string) (Step, *verdict.Error) {
	switch {
	case typ == 'C':
		if kind == 'S' {
			delete(m.statements, name)
		}
		m.localOut, _ = (&pgproto3.CloseComplete{}).Encode(m.localOut)
	case kind == 'S':
		if s := m.statements[name]; s == nil || s.local == nil {
			return Step{}, mixedBatch()
		}
		m.localOut, _ = (&pgproto3.ParameterDescription{}).Encode(m.localOut)
		m.localOut, _ = (&pgproto3.NoData{}).Encode(m.localOut)
	default:
		m.localOut, _ = (&pgproto3.NoData{}).Encode(m.localOut)
	}
	return Step{}, nil
}

// adminShutdown is the SQLSTATE of a session that ends between statements.
const adminShutdown = "57P01"

func errorResponse(severity string, e *verdict.Error) []byte {
	return encodeError(severity, e.SQLState(), e)
}

// encodeError encodes an error. Its detail carries the verdict and the reason.
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

// FatalResponse encodes an error that ends the session.
func FatalResponse(e *verdict.Error) []byte { return errorResponse("FATAL", e) }

// ShutdownResponse encodes the error that ends a session between statements.
func ShutdownResponse(e *verdict.Error) []byte { return encodeError("FATAL", adminShutdown, e) }

func parameterStatus(name, value string) []byte {
	out, _ := (&pgproto3.ParameterStatus{Name: name, Value: value}).Encode(nil)
	return out
}

func readyForQuery(status byte) []byte { return []byte{'Z', 0, 0, 0, 5, status} }
