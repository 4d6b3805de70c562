package standin

import (
	"fmt"
	"maps"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

// flushBytes bounds the rows that are buffered before they are sent.
const flushBytes = 16 << 10

// portal is a bound statement, with its result when it was suspended.
type portal struct {
	statement *statement
	params    []value
	formats   []int16
	result    *result
}

func (p *portal) format(i int) int16 {
	switch len(p.formats) {
	case 0:
		return pgproto3.TextFormat
	case 1:
		return p.formats[0]
	}
	if i < len(p.formats) {
		return p.formats[i]
	}
	return pgproto3.TextFormat
}

// handle processes one message and reports whether the connection goes on.
func (s *session) handle(m pgproto3.FrontendMessage) bool {
	if s.skipToSync {
		switch m.(type) {
		case *pgproto3.Sync, *pgproto3.Terminate:
		default:
			return true
		}
	}
	var err *sqlError
	switch m := m.(type) {
	case *pgproto3.Query:
		s.query(m.String)
	case *pgproto3.Parse:
		err = s.parse(m)
	case *pgproto3.Bind:
		err = s.bind(m)
	case *pgproto3.Describe:
		err = s.describe(m)
	case *pgproto3.Execute:
		err = s.run(m.Portal, int(m.MaxRows))
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(s.prepared, m.Name)
		} else {
			delete(s.portals, m.Name)
		}
		s.be.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Sync:
		s.sync()
	case *pgproto3.Flush:
		s.flush()
	case *pgproto3.Terminate:
		return false
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// Left over from a COPY that failed.
	default:
		s.fatal(failf(codeProtocolViolation, "unexpected message %T", m))
		return false
	}
	if err != nil {
		s.answerError(err)
		s.skipToSync = true
	}
	return !s.isDropped()
}

func (s *session) isDropped() bool {
	s.db.mu.Lock()
	defer s.db.mu.Unlock()
	return s.dropped
}

func (s *session) answerError(err *sqlError) {
	s.fail()
	s.be.Send(err.response("ERROR"))
}

// sync ends an extended query: an implicit transaction commits.
func (s *session) sync() {
	s.skipToSync = false
	s.commitImplicit()
	if s.tx == nil {
		clear(s.portals)
	}
	s.ready()
}

func (s *session) commitImplicit() {
	if s.tx == nil || s.tx.explicit {
		return
	}
	if _, err := s.commit(&result{}); err != nil {
		s.answerError(err)
	}
}

// query runs a simple query of one or more statements.
func (s *session) query(sql string) {
	statements := split(sql)
	if len(statements) == 0 {
		s.be.Send(&pgproto3.EmptyQueryResponse{})
	}
	for _, text := range statements {
		if err := s.simple(text, len(statements) == 1); err != nil {
			s.answerError(err)
			break
		}
	}
	s.commitImplicit()
	s.ready()
}

func (s *session) simple(text string, single bool) *sqlError {
	st, err := parse(text)
	if err != nil {
		return err
	}
	if len(st.params) > 0 {
		return failf(codeSyntax, "there is no parameter $1")
	}
	p := &portal{statement: st}
	switch st.kind {
	case kindCopyIn:
		return s.copyIn(st, single)
	case kindCopyOut:
		return s.copyOut(single)
	}
	r, err := s.execute(st, nil, single)
	if err != nil {
		return err
	}
	defer r.finish()
	if len(r.columns) > 0 {
		s.be.Send(p.rowDescription())
	}
	return s.stream(p, r, 0)
}

func (p *portal) rowDescription() *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for i, c := range p.statement.columns {
		d.Fields = append(d.Fields, c.field(p.format(i)))
	}
	return d
}

// stream sends rows, at most limit unless it is 0, and the command tag.
func (s *session) stream(p *portal, r *result, limit int) *sqlError {
	sent := 0
	for limit == 0 || sent < limit {
		row, ok := r.row()
		if !ok {
			tag := r.tag
			if r.countRows {
				tag = fmt.Sprintf("%s %d", r.tag, r.next-1)
			}
			s.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
			return nil
		}
		if err := s.sendRow(p, r, row); err != nil {
			return err
		}
		sent++
	}
	s.be.Send(&pgproto3.PortalSuspended{})
	return nil
}

func (s *session) sendRow(p *portal, r *result, row []value) *sqlError {
	d := &pgproto3.DataRow{Values: make([][]byte, len(row))}
	for i, v := range row {
		raw, err := r.columns[i].encode(v, p.format(i))
		if err != nil {
			return err
		}
		d.Values[i] = raw
		s.unflushed += len(raw) + 4
	}
	s.be.Send(d)
	if s.unflushed >= flushBytes {
		s.flush()
		if s.isDropped() {
			return failf(codeShutdown, "terminating connection")
		}
	}
	return nil
}

func (s *session) parse(m *pgproto3.Parse) *sqlError {
	if _, ok := s.prepared[m.Name]; ok && m.Name != "" {
		return failf("42P05", "prepared statement %q already exists", m.Name)
	}
	if len(split(m.Query)) > 1 {
		return failf(codeSyntax, "cannot insert multiple commands into a prepared statement")
	}
	st, err := parse(m.Query)
	if err != nil {
		return err
	}
	params := append([]uint32(nil), st.params...)
	for i, oid := range m.ParameterOIDs {
		if oid == 0 {
			continue
		}
		for len(params) <= i {
			params = append(params, pgtype.TextOID)
		}
		params[i] = oid
	}
	for i := range params {
		if params[i] == 0 {
			params[i] = pgtype.TextOID
		}
	}
	s.prepared[m.Name] = &preparedStatement{statement: st, params: params}
	s.be.Send(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) bind(m *pgproto3.Bind) *sqlError {
	ps, ok := s.prepared[m.PreparedStatement]
	if !ok {
		return failf(codeNoStatement, "prepared statement %q does not exist", m.PreparedStatement)
	}
	if len(m.Parameters) != len(ps.params) {
		return failf(codeProtocolViolation, "bind message supplies %d parameters, but prepared statement %q requires %d",
			len(m.Parameters), m.PreparedStatement, len(ps.params))
	}
	p := &portal{statement: ps.statement, formats: append([]int16(nil), m.ResultFormatCodes...)}
	for i, raw := range m.Parameters {
		format := int16(pgproto3.TextFormat)
		switch {
		case len(m.ParameterFormatCodes) == 1:
			format = m.ParameterFormatCodes[0]
		case i < len(m.ParameterFormatCodes):
			format = m.ParameterFormatCodes[i]
		}
		v, err := decode(ps.params[i], format, raw)
		if err != nil {
			return err
		}
		p.params = append(p.params, v)
	}
	s.portals[m.DestinationPortal] = p
	s.be.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describe(m *pgproto3.Describe) *sqlError {
	var p *portal
	if m.ObjectType == 'S' {
		ps, ok := s.prepared[m.Name]
		if !ok {
			return failf(codeNoStatement, "prepared statement %q does not exist", m.Name)
		}
		s.be.Send(&pgproto3.ParameterDescription{ParameterOIDs: ps.params})
		p = &portal{statement: ps.statement}
	} else {
		var ok bool
		if p, ok = s.portals[m.Name]; !ok {
			return failf(codeNoCursor, "portal %q does not exist", m.Name)
		}
	}
	if len(p.statement.columns) == 0 {
		s.be.Send(&pgproto3.NoData{})
	} else {
		s.be.Send(p.rowDescription())
	}
	return nil
}

// run executes a portal.
func (s *session) run(name string, limit int) *sqlError {
	p, ok := s.portals[name]
	if !ok {
		return failf(codeNoCursor, "portal %q does not exist", name)
	}
	switch p.statement.kind {
	case kindEmpty:
		s.be.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	case kindCopyIn:
		return s.copyIn(p.statement, false)
	case kindCopyOut:
		return s.copyOut(false)
	}
	if p.result == nil {
		// A Sync that follows makes the statement a transaction of its own,
		// whose commit comes before its result.
		_, single := s.peek().(*pgproto3.Sync)
		r, err := s.execute(p.statement, p.params, single)
		if err != nil {
			return err
		}
		p.result = r
	}
	defer p.result.finish()
	return s.stream(p, p.result, limit)
}

// set changes a session setting and reports it when clients expect that.
func (s *session) set(name, v string) {
	name = canonical(s.settings, name)
	s.settings[name] = v
	for _, known := range reported {
		if known == name {
			s.be.Send(&pgproto3.ParameterStatus{Name: name, Value: v})
		}
	}
}

func (s *session) setLocal(name, v string) {
	if s.tx == nil || !s.tx.explicit {
		return
	}
	name = canonical(s.settings, name)
	if s.tx.locals == nil {
		s.tx.locals = make(map[string]*string)
	}
	if _, ok := s.tx.locals[name]; !ok {
		var old *string
		if current, ok := s.settings[name]; ok {
			old = &current
		}
		s.tx.locals[name] = old
	}
	s.set(name, v)
}

func (s *session) resetAll() {
	old := s.settings
	s.settings = maps.Clone(s.startup)
	for _, name := range reported {
		if old[name] != s.settings[name] {
			s.be.Send(&pgproto3.ParameterStatus{Name: name, Value: s.settings[name]})
		}
	}
}
