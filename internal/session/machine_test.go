package session

import (
	"bytes"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/cranberryhinge/cranberryhinge/internal/fixedseed"

	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// modelServer models a PostgreSQL backend process: prepared statements, portal,
// transaction status, and the skipping of messages after an error.
type modelServer struct {
	statements map[string]string
	portal     string
	status     byte
	skipping   bool
	out        []byte
	ready      bool
	// unnamedParseFailed is set when a Parse of the unnamed statement failed or was
	// skipped. Machine cannot distinguish these cases and drops the statement in
	// both, whereas a backend server drops it only after a failure.
	unnamedParseFailed bool
}

func newModelServer() *modelServer {
	return &modelServer{statements: map[string]string{}, status: StatusIdle}
}

func (s *modelServer) send(m pgproto3.BackendMessage) { s.out, _ = m.Encode(s.out) }

func (s *modelServer) fail(code string) {
	s.skipping = true
	if s.status == StatusOpen {
		s.status = StatusFailed
	}
	s.send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code})
}

func (s *modelServer) handle(m pgproto3.FrontendMessage) {
	if p, ok := m.(*pgproto3.Parse); ok && p.Name == "" && (s.skipping || strings.HasPrefix(p.Query, "bad")) {
		s.unnamedParseFailed = true
	}
	if _, ok := m.(*pgproto3.Sync); !ok && s.skipping {
		return
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		delete(s.statements, "")
		s.execute(m.String)
		s.sync()
	case *pgproto3.Parse:
		if strings.HasPrefix(m.Query, "bad") {
			s.fail("42601")
			return
		}
		s.statements[m.Name] = m.Query
		s.send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		text, ok := s.statements[m.PreparedStatement]
		if !ok {
			s.fail("26000")
			return
		}
		s.portal = text
		s.send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		text, ok := s.statements[m.Name]
		if !ok {
			s.fail("26000")
			return
		}
		s.send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte(text)}}})
	case *pgproto3.Execute:
		s.execute(s.portal)
	case *pgproto3.Close:
		delete(s.statements, m.Name)
		s.send(&pgproto3.CloseComplete{})
	case *pgproto3.Sync:
		s.sync()
	}
}

func (s *modelServer) execute(text string) {
	switch {
	case strings.HasPrefix(text, "error"), s.status == StatusFailed && text != "rollback":
		s.fail("22012")
		return
	case text == "begin":
		s.status = StatusOpen
	case text == "rollback":
		s.status = StatusIdle
	}
	s.send(&pgproto3.CommandComplete{CommandTag: []byte(text)})
}

func (s *modelServer) sync() {
	if s.unnamedParseFailed {
		delete(s.statements, "")
	}
	s.skipping, s.unnamedParseFailed, s.ready = false, false, true
}

// proxiedSession runs a Machine against a modelServer, in place of the home host.
type proxiedSession struct {
	t        *rapid.T
	machine  *Machine
	server   *modelServer
	received []byte
}

func (p *proxiedSession) send(m pgproto3.FrontendMessage) {
	raw, _ := m.Encode(nil)
	step, refused := p.machine.ProcessClientMessage(raw[0], raw[headerBytes:])
	assert.Assert(p.t, refused == nil, "%v", refused)
	p.received = append(p.received, step.Reply...)
	if step.Send || rapid.IntRange(0, 9).Draw(p.t, "cut") == 0 && p.machine.InBatch() {
		p.flush()
	}
	if step.End {
		assert.Assert(p.t, p.server.ready)
		p.server.ready = false
		status := p.server.status
		p.received = append(p.received, p.machine.EndBatch(status, Token{})...)
		if status == StatusIdle {
			p.server = newModelServer()
		}
	}
}

// flush sends the collected bytes to the server and passes the answer to the Machine
// in two chunks.
func (p *proxiedSession) flush() {
	for _, s := range p.machine.TakeStatementsToPrepare() {
		p.server.statements[s.Name] = s.Query
	}
	in := p.machine.TakeFrontendBytes()
	be := pgproto3.NewBackend(bytes.NewReader(in), nil)
	for {
		m, err := be.Receive()
		if err != nil {
			break
		}
		p.server.handle(m)
	}
	out := p.server.out
	p.server.out = nil
	cut := rapid.IntRange(0, len(out)).Draw(p.t, "chunk")
	p.received = append(p.received, p.machine.ProcessBackendBytes(out[:cut])...)
	p.received = append(p.received, p.machine.ProcessBackendBytes(out[cut:])...)
}

// Guards against executing a wrong statement, and against answers that differ from
// those of a direct connection. Both can be caused by renaming statements, preparing
// them within a batch, setting parameters, or splitting a batch into chunks.
func TestProxiedAnswersMatchDirectConnection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		direct := newModelServer()
		p := &proxiedSession{t: t, machine: New("g", false), server: newModelServer()}
		for range rapid.IntRange(0, 2).Draw(t, "settings") {
			p.machine.SetParameter("TimeZone", "Asia/Kolkata")
		}
		names := rapid.SampledFrom([]string{"", "a", "b", "c"})
		texts := rapid.SampledFrom([]string{"one", "two", "begin", "rollback", "error", "bad"})
		for range rapid.IntRange(1, 12).Draw(t, "batches") {
			for range rapid.IntRange(0, 8).Draw(t, "messages") {
				var m pgproto3.FrontendMessage
				switch rapid.IntRange(0, 5).Draw(t, "kind") {
				case 0:
					name := names.Draw(t, "name")
					if _, taken := direct.statements[name]; taken && name != "" {
						continue
					}
					m = &pgproto3.Parse{Name: name, Query: texts.Draw(t, "text")}
				case 1, 2:
					m = &pgproto3.Bind{PreparedStatement: names.Draw(t, "name")}
				case 3:
					m = &pgproto3.Describe{ObjectType: 'S', Name: names.Draw(t, "name")}
				case 4:
					m = &pgproto3.Close{ObjectType: 'S', Name: names.Draw(t, "name")}
				case 5:
					if direct.portal == "" {
						continue
					}
					m = &pgproto3.Execute{}
				}
				direct.handle(m)
				p.send(m)
			}
			var end pgproto3.FrontendMessage = &pgproto3.Sync{}
			if rapid.Bool().Draw(t, "simple") && !direct.skipping {
				end = &pgproto3.Query{String: texts.Draw(t, "text")}
			}
			direct.handle(end)
			p.send(end)
			direct.send(&pgproto3.ReadyForQuery{TxStatus: direct.status})
			direct.portal = ""
			assert.DeepEqual(t, direct.out, p.received)
			direct.out, p.received = nil, nil
		}
	})
}

// Guards against a floor that decreases, and against accepting a token of another
// group.
func TestFloorNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New("g", true)
		var highest Token
		for range rapid.IntRange(1, 20).Draw(t, "tokens") {
			u := Token{Group: rapid.SampledFrom([]string{"g", "h"}).Draw(t, "group"), Term: rapid.Uint64Max(3).Draw(t, "term"), Position: rapid.Uint64Max(9).Draw(t, "position")}
			parsed, err := ParseToken(u.String())
			assert.NilError(t, err)
			assert.Equal(t, parsed, u)
			m.RaiseFloor(parsed)
			if u.Group == "g" && (highest.IsZero() || highest.Before(u)) {
				highest = u
			}
			assert.Equal(t, m.Floor(), highest)
		}
	})
	for _, bad := range []string{"", "g", "g:1", ":1:2", "g:1:x", "g:-1:2"} {
		_, err := ParseToken(bad)
		assert.Assert(t, err != nil, bad)
	}
}

// Guards against classifying a write as a read, and against accepting statements
// whose session state would be lost on, or leak through, a pooled connection.
func TestStatementClassification(t *testing.T) {
	for text, want := range map[string]command{
		"begin read only":                              commandBeginReadOnly,
		" BEGIN  TRANSACTION\nREAD ONLY ; ":            commandBeginReadOnly,
		"START TRANSACTION READ ONLY":                  commandBeginReadOnly,
		"begin isolation level serializable read only": commandBeginReadOnly,
		"begin read only, deferrable":                  commandBeginReadOnly,
		"begin":                                        commandBegin,
		"begin read write":                             commandReadWrite,
		"begin read only; insert into t":               commandOther,
		"begin read only, read write":                  commandReadWrite,
		"start read only":                              commandOther,
		"select 'begin read only'":                     commandOther,
		"set transaction read write":                   commandReadWrite,
		"SET default_transaction_read_only=0":          commandReadWrite,
		"set cranberryhinge.token='g:1:2'":             commandSetToken,
		"create local temporary table t (a int)":       commandSessionObject,
		"create table temp (a int)":                    commandOther,
		"LISTEN x":                                     commandUnsupported,
		"deallocate all":                               commandDeallocate,
		"discard all;":                                 commandDiscardAll,
	} {
		assert.Equal(t, classify(text), want, text)
	}
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.String().Draw(t, "text")
		classify(text)
		setTokenValue("set cranberryhinge.token " + text)
	})
}

// Guards against a backend server that can still commit a transaction after the
// proxy refused one of its statements, and against sending the client the backend
// server's error instead of the proxy's.
func TestRefusalAbortsTransaction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &proxiedSession{t: t, machine: New("g", false), server: newModelServer()}
		p.send(&pgproto3.Query{String: "begin"})
		p.received = nil
		if rapid.Bool().Draw(t, "simple") {
			p.send(&pgproto3.Query{String: "listen x"})
		} else {
			p.send(&pgproto3.Parse{Query: "listen x"})
			p.send(&pgproto3.Bind{})
			p.send(&pgproto3.Execute{})
			p.send(&pgproto3.Sync{})
		}
		want := errorResponse("ERROR", verdict.New(verdict.NotRun, verdict.UnsupportedSessionState, "the statement needs session state, which a proxied connection does not keep"))
		assert.DeepEqual(t, p.received, append(want, readyForQuery(StatusFailed)...))
		assert.Equal(t, p.server.status, StatusFailed)
	})
}

// Guards against a panic caused by invalid input from a client or a home host.
func TestArbitraryInputDoesNotPanic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New("g", rapid.Bool().Draw(t, "read only"))
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			body := rapid.SliceOfN(rapid.SampledFrom([]byte("SPa\x00\x01\xff")), 0, 12).Draw(t, "body")
			step, refused := m.ProcessClientMessage(rapid.SampledFrom([]byte("QPBDCEHSXFdcf?")).Draw(t, "type"), body)
			switch {
			case refused != nil:
				m.Refuse(refused, rapid.Bool().Draw(t, "ended"))
			case step.Send:
				m.TakeStatementsToPrepare()
				m.TakeFrontendBytes()
				m.ProcessBackendBytes(rapid.SliceOf(rapid.SampledFrom([]byte("1Z\x00\x04EG"))).Draw(t, "answer"))
				if step.End {
					m.EndBatch(rapid.SampledFrom([]byte("ITE")).Draw(t, "status"), Token{})
				}
			}
		}
	})
}
