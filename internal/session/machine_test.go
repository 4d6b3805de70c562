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

// server is a model of a PostgreSQL backend process: names, portal, transaction
// status and the skipping after an error.
type server struct {
	names    map[string]string
	portal   string
	status   byte
	skipping bool
	out      []byte
	ready    bool
	// unparsed is set when a Parse of the unnamed statement failed or was skipped.
	// The machine does not tell these cases apart and drops the statement, which
	// a backend server does for the former only.
	unparsed bool
}

func newServer() *server { return &server{names: map[string]string{}, status: StatusIdle} }

func (s *server) send(m pgproto3.BackendMessage) { s.out, _ = m.Encode(s.out) }

func (s *server) fail(code string) {
	s.skipping = true
	if s.status == StatusOpen {
		s.status = StatusFailed
	}
	s.send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code})
}

func (s *server) message(m pgproto3.FrontendMessage) {
	if p, ok := m.(*pgproto3.Parse); ok && p.Name == "" && (s.skipping || strings.HasPrefix(p.Query, "bad")) {
		s.unparsed = true
	}
	if _, ok := m.(*pgproto3.Sync); !ok && s.skipping {
		return
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		delete(s.names, "")
		s.execute(m.String)
		s.sync()
	case *pgproto3.Parse:
		if strings.HasPrefix(m.Query, "bad") {
			s.fail("42601")
			return
		}
		s.names[m.Name] = m.Query
		s.send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		text, ok := s.names[m.PreparedStatement]
		if !ok {
			s.fail("26000")
			return
		}
		s.portal = text
		s.send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		text, ok := s.names[m.Name]
		if !ok {
			s.fail("26000")
			return
		}
		s.send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte(text)}}})
	case *pgproto3.Execute:
		s.execute(s.portal)
	case *pgproto3.Close:
		delete(s.names, m.Name)
		s.send(&pgproto3.CloseComplete{})
	case *pgproto3.Sync:
		s.sync()
	}
}

func (s *server) execute(text string) {
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

func (s *server) sync() {
	if s.unparsed {
		delete(s.names, "")
	}
	s.skipping, s.unparsed, s.ready = false, false, true
}

// proxied runs a machine against a server that a home host would provide.
type proxied struct {
	t       *rapid.T
	machine *Machine
	server  *server
	got     []byte
}

func (p *proxied) client(m pgproto3.FrontendMessage) {
	raw, _ := m.Encode(nil)
	step, refused := p.machine.Client(raw[0], raw[headerBytes:])
	assert.Assert(p.t, refused == nil, "%v", refused)
	p.got = append(p.got, step.Reply...)
	if step.Send || rapid.IntRange(0, 9).Draw(p.t, "cut") == 0 && p.machine.InBatch() {
		p.flush()
	}
	if step.End {
		assert.Assert(p.t, p.server.ready)
		p.server.ready = false
		status := p.server.status
		p.got = append(p.got, p.machine.Ready(status, Token{})...)
		if status == StatusIdle {
			p.server = newServer()
		}
	}
}

// flush sends the collected bytes and takes the answer in two chunks.
func (p *proxied) flush() {
	for _, s := range p.machine.Prepared() {
		p.server.names[s.Name] = s.Query
	}
	in := p.machine.Take()
	be := pgproto3.NewBackend(bytes.NewReader(in), nil)
	for {
		m, err := be.Receive()
		if err != nil {
			break
		}
		p.server.message(m)
	}
	out := p.server.out
	p.server.out = nil
	cut := rapid.IntRange(0, len(out)).Draw(p.t, "chunk")
	p.got = append(p.got, p.machine.Backend(out[:cut])...)
	p.got = append(p.got, p.machine.Backend(out[cut:])...)
}

// Guards against a statement that runs in place of another, and against answers
// that differ from those of a direct connection, whatever is renamed, prepared
// inline, set or cut on the way.
func TestAnswersAreThoseOfADirectConnection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		direct := newServer()
		p := &proxied{t: t, machine: New("g", false), server: newServer()}
		for range rapid.IntRange(0, 2).Draw(t, "settings") {
			p.machine.Set("TimeZone", "Asia/Kolkata")
		}
		names := rapid.SampledFrom([]string{"", "a", "b", "c"})
		texts := rapid.SampledFrom([]string{"one", "two", "begin", "rollback", "error", "bad"})
		for range rapid.IntRange(1, 12).Draw(t, "batches") {
			for range rapid.IntRange(0, 8).Draw(t, "messages") {
				var m pgproto3.FrontendMessage
				switch rapid.IntRange(0, 5).Draw(t, "kind") {
				case 0:
					name := names.Draw(t, "name")
					if _, taken := direct.names[name]; taken && name != "" {
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
				direct.message(m)
				p.client(m)
			}
			var end pgproto3.FrontendMessage = &pgproto3.Sync{}
			if rapid.Bool().Draw(t, "simple") && !direct.skipping {
				end = &pgproto3.Query{String: texts.Draw(t, "text")}
			}
			direct.message(end)
			p.client(end)
			direct.send(&pgproto3.ReadyForQuery{TxStatus: direct.status})
			direct.portal = ""
			assert.DeepEqual(t, direct.out, p.got)
			direct.out, p.got = nil, nil
		}
	})
}

// Guards against a floor that goes back, and against a token of another group.
func TestFloorOnlyRises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New("g", true)
		var highest Token
		for range rapid.IntRange(1, 20).Draw(t, "tokens") {
			u := Token{Group: rapid.SampledFrom([]string{"g", "h"}).Draw(t, "group"), Term: rapid.Uint64Max(3).Draw(t, "term"), Position: rapid.Uint64Max(9).Draw(t, "position")}
			parsed, err := ParseToken(u.String())
			assert.NilError(t, err)
			assert.Equal(t, parsed, u)
			m.Raise(parsed)
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

// Guards against a write that is taken for a read, and against session state
// that a pooled connection would leak or lose.
func TestClassify(t *testing.T) {
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

// Guards against a refusal inside a transaction after which the backend server
// still commits, and against an error that is not the proxy's.
func TestRefusalAbortsTransaction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &proxied{t: t, machine: New("g", false), server: newServer()}
		p.client(&pgproto3.Query{String: "begin"})
		p.got = nil
		if rapid.Bool().Draw(t, "simple") {
			p.client(&pgproto3.Query{String: "listen x"})
		} else {
			p.client(&pgproto3.Parse{Query: "listen x"})
			p.client(&pgproto3.Bind{})
			p.client(&pgproto3.Execute{})
			p.client(&pgproto3.Sync{})
		}
		want := errorResponse("ERROR", verdict.New(verdict.NotRun, verdict.Unsupported, "the statement needs session state, which a proxied connection does not keep"))
		assert.DeepEqual(t, p.got, append(want, readyForQuery(StatusFailed)...))
		assert.Equal(t, p.server.status, StatusFailed)
	})
}

// Guards against input of a client or a home host that stops the process.
func TestArbitraryInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New("g", rapid.Bool().Draw(t, "read only"))
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			body := rapid.SliceOfN(rapid.SampledFrom([]byte("SPa\x00\x01\xff")), 0, 12).Draw(t, "body")
			step, refused := m.Client(rapid.SampledFrom([]byte("QPBDCEHSXFdcf?")).Draw(t, "type"), body)
			switch {
			case refused != nil:
				m.Refuse(refused, rapid.Bool().Draw(t, "ended"))
			case step.Send:
				m.Prepared()
				m.Take()
				m.Backend(rapid.SliceOf(rapid.SampledFrom([]byte("1Z\x00\x04EG"))).Draw(t, "answer"))
				if step.End {
					m.Ready(rapid.SampledFrom([]byte("ITE")).Draw(t, "status"), Token{})
				}
			}
		}
	})
}
