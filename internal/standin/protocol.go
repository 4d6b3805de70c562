package standin

import (
	"fmt"
	"maps"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

// flushBytes is the size at which buffered rows are sent.
const flushBytes = 16 << 10

// portal is a bound statement, with its result once execution has begun.
type portal struct {
	statement     *statement
	params        []value
	resultFormats []int16
	result        *result
}

func (p *portal) resultFormat(i int) int16 {
	switch len(p.resultFormats) {
	case 0:
		return pgproto3.TextFormat
	case 1:
		return p.resultFormats[0]
	}
	if i < len(p.resultFormats) {
		return p.resultFormats[i]
	}
	return pgproto3.TextFormat
}

// handleMessage processes one message and reports whether the connection stays
// open.
func (s *session) handleMessage(m pgproto3.FrontendMessage) bool {
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
		s.handleQuery(m.String)
	case *pgproto3.Parse:
		err = s.handleParse(m)
	case *pgproto3.Bind:
		err = s.handleBind(m)
	case *pgproto3.Describe:
		err = s.handleDescribe(m)
	case *pgproto3.Execute:
		err = s.handleExecute(m.Portal, int(m.MaxRows))
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(s.preparedStatements, m.Name)
		} else {
			delete(s.portals, m.Name)
		}
		s.backend.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Sync:
		s.handleSync()
	case *pgproto3.Flush:
		s.flush()
	case *pgproto3.Terminate:
		return false
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// Remaining messages of a failed COPY are ignored.
	default:
		s.sendFatal(sqlErrorf(codeProtocolViolation, "unexpected message %T", m))
		return false
	}
	if err != nil {
		s.sendError(err)
		s.skipToSync = true
	}
	return !s.isDropped()
}

func (s *session) isDropped() bool {
	s.db.mu.Lock()
	defer s.db.mu.Unlock()
	return s.dropped
}

func (s *session) sendError(err *sqlError) {
	s.failTransaction()
	s.backend.Send(err.errorResponse("ERROR"))
}

// handleSync ends an extended query and commits an implicit transaction.
func (s *session) handleSync() {
	s.skipToSync = false
	s.commitImplicit()
	if s.tx == nil {
		clear(s.portals)
	}
	s.sendReadyForQuery()
}

func (s *session) commitImplicit() {
	if s.tx == nil || s.tx.explicit {
		return
	}
	if _, err := s.commit(&result{}); err != nil {
		s.sendError(err)
	}
}

// handleQuery runs a simple query of one or more statements.
func (s *session) handleQuery(sql string) {
	statements := splitStatements(sql)
	if len(statements) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for _, text := range statements {
		if err := s.runSimpleStatement(text, len(statements) == 1); err != nil {
			s.sendError(err)
			break
		}
	}
	s.commitImplicit()
	s.sendReadyForQuery()
}

func (s *session) runSimpleStatement(text string, autocommit bool) *sqlError {
	st, err := parse(text)
	if err != nil {
		return err
	}
	if len(st.params) > 0 {
		return sqlErrorf(codeSyntaxError, "there is no parameter $1")
	}
	p := &portal{statement: st}
	switch st.kind {
	case kindCopyIn:
		return s.copyIn(st, autocommit)
	case kindCopyOut:
		return s.copyOut(autocommit)
	}
	r, err := s.execute(st, nil, autocommit)
	if err != nil {
		return err
	}
	defer r.release()
	if len(r.columns) > 0 {
		s.backend.Send(p.rowDescription())
	}
	return s.streamRows(p, r, 0)
}

func (p *portal) rowDescription() *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for i, c := range p.statement.columns {
		d.Fields = append(d.Fields, c.fieldDescription(p.resultFormat(i)))
	}
	return d
}

// streamRows sends rows, at most limit unless it is 0. It sends the command tag
// after the last row and PortalSuspended at the limit.
func (s *session) streamRows(p *portal, r *result, limit int) *sqlError {
	sent := 0
	for limit == 0 || sent < limit {
		row, ok := r.nextRow()
		if !ok {
			tag := r.tag
			if r.countRows {
				tag = fmt.Sprintf("%s %d", r.tag, r.nextIndex-1)
			}
			s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
			return nil
		}
		if err := s.sendRow(p, r, row); err != nil {
			return err
		}
		sent++
	}
	s.backend.Send(&pgproto3.PortalSuspended{})
	return nil
}

func (s *session) sendRow(p *portal, r *result, row []value) *sqlError {
	d := &pgproto3.DataRow{Values: make([][]byte, len(row))}
	for i, v := range row {
		raw, err := r.columns[i].encode(v, p.resultFormat(i))
		if err != nil {
			return err
		}
		d.Values[i] = raw
		s.unflushedBytes += len(raw) + 4
	}
	s.backend.Send(d)
	if s.unflushedBytes >= flushBytes {
		s.flush()
		if s.isDropped() {
			return sqlErrorf(codeAdminShutdown, "terminating connection")
		}
	}
	return nil
}

func (s *session) handleParse(m *pgproto3.Parse) *sqlError {
	if _, ok := s.preparedStatements[m.Name]; ok && m.Name != "" {
		return sqlErrorf("42P05", "prepared statement %q already exists", m.Name)
	}
	if len(splitStatements(m.Query)) > 1 {
		return sqlErrorf(codeSyntaxError, "cannot insert multiple commands into a prepared statement")
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
	s.preparedStatements[m.Name] = &preparedStatement{statement: st, params: params}
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) handleBind(m *pgproto3.Bind) *sqlError {
	ps, ok := s.preparedStatements[m.PreparedStatement]
	if !ok {
		return sqlErrorf(codeInvalidStatementName, "prepared statement %q does not exist", m.PreparedStatement)
	}
	if len(m.Parameters) != len(ps.params) {
		return sqlErrorf(codeProtocolViolation, "bind message supplies %d parameters, but prepared statement %q requires %d",
			len(m.Parameters), m.PreparedStatement, len(ps.params))
	}
	p := &portal{statement: ps.statement, resultFormats: append([]int16(nil), m.ResultFormatCodes...)}
	for i, raw := range m.Parameters {
		format := int16(pgproto3.TextFormat)
		switch {
		case len(m.ParameterFormatCodes) == 1:
			format = m.ParameterFormatCodes[0]
		case i < len(m.ParameterFormatCodes):
			format = m.ParameterFormatCodes[i]
		}
		v, err := decodeParam(ps.params[i], format, raw)
		if err != nil {
			return err
		}
		p.params = append(p.params, v)
	}
	s.portals[m.DestinationPortal] = p
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) handleDescribe(m *pgproto3.Describe) *sqlError {
	var p *portal
	if m.ObjectType == 'S' {
		ps, ok := s.preparedStatements[m.Name]
		if !ok {
			return sqlErrorf(codeInvalidStatementName, "prepared statement %q does not exist", m.Name)
		}
		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: ps.params})
		p = &portal{statement: ps.statement}
	} else {
		var ok bool
		if p, ok = s.portals[m.Name]; !ok {
			return sqlErrorf(codeInvalidCursorName, "portal %q does not exist", m.Name)
		}
	}
	if len(p.statement.columns) == 0 {
		s.backend.Send(&pgproto3.NoData{})
	} else {
		s.backend.Send(p.rowDescription())
	}
	return nil
}

// handleExecute runs a portal and sends at most limit rows, all if it is 0.
func (s *session) handleExecute(name string, limit int) *sqlError {
	p, ok := s.portals[name]
	if !ok {
		return sqlErrorf(codeInvalidCursorName, "portal %q does not exist", name)
	}
	switch p.statement.kind {
	case kindEmpty:
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	case kindCopyIn:
		return s.copyIn(p.statement, false)
	case kindCopyOut:
		return s.copyOut(false)
	}
	if p.result == nil {
		// If a Sync follows, the statement is a transaction of its own, which commits
		// before its result is sent.
		_, autocommit := s.peek().(*pgproto3.Sync)
		r, err := s.execute(p.statement, p.params, autocommit)
		if err != nil {
			return err
		}
		p.result = r
	}
	defer p.result.release()
	return s.streamRows(p, p.result, limit)
}

// setSetting changes a session setting and sends ParameterStatus for one of
// reportedSettings.
func (s *session) setSetting(name, v string) {
	name = canonicalName(s.settings, name)
	s.settings[name] = v
	for _, reported := range reportedSettings {
		if reported == name {
			s.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: v})
		}
	}
}

func (s *session) setLocalSetting(name, v string) {
	if s.tx == nil || !s.tx.explicit {
		return
	}
	name = canonicalName(s.settings, name)
	if s.tx.savedLocals == nil {
		s.tx.savedLocals = make(map[string]*string)
	}
	if _, ok := s.tx.savedLocals[name]; !ok {
		var old *string
		if current, ok := s.settings[name]; ok {
			old = &current
		}
		s.tx.savedLocals[name] = old
	}
	s.setSetting(name, v)
}

func (s *session) resetAllSettings() {
	old := s.settings
	s.settings = maps.Clone(s.startupSettings)
	for _, name := range reportedSettings {
		if old[name] != s.settings[name] {
			s.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: s.settings[name]})
		}
	}
}
