package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/clock"
)

// result is the result of one statement. Its rows come either from rows or from
// generateRow.
type result struct {
	columns     []column
	rows        [][]value
	generateRow func(i int) ([]value, bool)
	nextIndex   int
	// tag is the command tag; with countRows the number of rows is appended.
	tag       string
	countRows bool
	// releaseSlot is called once the result is sent or abandoned.
	releaseSlot func()
}

func (r *result) nextRow() ([]value, bool) {
	i := r.nextIndex
	r.nextIndex++
	if r.generateRow != nil {
		return r.generateRow(i)
	}
	if i >= len(r.rows) {
		return nil, false
	}
	return r.rows[i], true
}

func (r *result) release() {
	if r.releaseSlot != nil {
		r.releaseSlot()
		r.releaseSlot = nil
	}
}

// execute runs a statement other than COPY. With autocommit, a data statement
// outside a transaction commits before its result is returned.
func (s *session) execute(st *statement, params []value, autocommit bool) (*result, *sqlError) {
	if s.tx != nil && s.tx.failed && !st.endsTransaction() {
		return nil, sqlErrorf(codeInFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
	}
	args, err := bindOperands(st, params)
	if err != nil {
		return nil, err
	}
	switch {
	case st.kind == kindContract:
		return s.callContract(st, args)
	case !st.isData():
		return s.sessionCommand(st)
	}
	ctx, release, err := s.acquireSlot()
	if err != nil {
		return nil, err
	}
	r, err := s.runDataStatement(ctx, st, args, autocommit)
	if err != nil {
		release()
		return nil, err
	}
	r.releaseSlot = release
	return r, nil
}

// bindOperands returns the values of a statement's operands.
func bindOperands(st *statement, params []value) ([]value, *sqlError) {
	args := make([]value, len(st.operands))
	for i, o := range st.operands {
		switch {
		case o.param > len(params):
			return nil, sqlErrorf(codeSyntaxError, "there is no parameter $%d", o.param)
		case o.param > 0:
			args[i] = params[o.param-1]
		default:
			args[i] = value{text: o.text, null: o.null}
		}
	}
	return args, nil
}

// acquireSlot waits for a slot and then for the service time. The returned
// context ends when the statement is cancelled; the returned function releases
// the slot.
func (s *session) acquireSlot() (context.Context, func(), *sqlError) {
	ctx, cancel := context.WithCancelCause(s.instance.ctx)
	s.db.lock()
	if s.dropped {
		s.db.mu.Unlock()
		cancel(nil)
		return nil, nil, sqlErrorf(codeAdminShutdown, "terminating connection")
	}
	s.cancelStatement = cancel
	s.db.waitingStatements++
	s.db.record.LastData = time.Now()
	s.db.record.MaxOffered = max(s.db.record.MaxOffered, s.db.waitingStatements+s.db.runningStatements)
	serviceTime := s.db.settings.ServiceTime
	s.db.mu.Unlock()
	select {
	case s.db.slots <- struct{}{}:
	case <-ctx.Done():
	}
	s.db.mu.Lock()
	s.db.waitingStatements--
	if ctx.Err() != nil {
		s.cancelStatement = nil
		s.db.mu.Unlock()
		return nil, nil, cancelCause(ctx)
	}
	s.db.runningStatements++
	s.db.record.MaxRunning = max(s.db.record.MaxRunning, s.db.runningStatements)
	s.db.mu.Unlock()
	release := func() {
		s.db.mu.Lock()
		s.db.runningStatements--
		s.cancelStatement = nil
		s.db.mu.Unlock()
		<-s.db.slots
		cancel(nil)
	}
	if !clock.Sleep(ctx, s.db.delays.sample(serviceTime)) {
		err := cancelCause(ctx)
		release()
		return nil, nil, err
	}
	return ctx, release, nil
}

func cancelCause(ctx context.Context) *sqlError {
	if err, ok := context.Cause(ctx).(*sqlError); ok {
		return err
	}
	return sqlErrorf(codeAdminShutdown, "the database is shutting down")
}

// runDataStatement runs a data statement in the open transaction or in a new
// implicit one.
func (s *session) runDataStatement(ctx context.Context, st *statement, args []value, autocommit bool) (*result, *sqlError) {
	if st.kind == kindSleep {
		seconds, err := strconv.ParseFloat(args[0].text, 64)
		if err != nil {
			return nil, sqlErrorf(codeInvalidTextRepresentation, "invalid number: %q", args[0].text)
		}
		if !clock.Sleep(ctx, time.Duration(seconds*float64(time.Second))) {
			return nil, cancelCause(ctx)
		}
	}
	s.db.lock()
	defer s.db.mu.Unlock()
	if ctx.Err() != nil {
		return nil, cancelCause(ctx)
	}
	implicit := s.tx == nil
	tx, err := s.ensureTransaction(st.writes())
	if err != nil {
		return nil, err
	}
	r, err := s.db.executeData(tx, st, args)
	if err != nil {
		if implicit {
			s.tx = nil
		}
		return nil, err
	}
	if implicit && autocommit {
		s.tx = nil
		if err := s.db.commitTransaction(s, tx); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// ensureTransaction returns the open transaction or a new implicit one, with
// its snapshot taken. A write returns an error in a read-only transaction and on a
// database that is not the primary. The caller holds the lock.
func (s *session) ensureTransaction(writes bool) (*transaction, *sqlError) {
	if s.tx == nil {
		s.tx = &transaction{readOnly: isOn(s.settings["default_transaction_read_only"])}
	}
	tx := s.tx
	if writes && (tx.readOnly || s.db.role != rolePrimary) {
		if !tx.explicit {
			s.tx = nil
		}
		return nil, sqlErrorf(codeReadOnlyTransaction, "cannot execute a write in a read-only transaction")
	}
	if !tx.hasSnapshot {
		tx.hasSnapshot, tx.snapshot, tx.generation = true, s.db.appliedIndex, s.db.generation
	}
	if tx.generation != s.db.generation {
		return nil, sqlErrorf(codeSerializationFailure, "canceling statement due to a discarded log tail")
	}
	return tx, nil
}

// commitTransaction commits the writes of a transaction. It returns an error if
// the session was dropped, if the database is not the primary, or if a
// concurrent write or a discarded log tail conflicts with the snapshot. The
// caller holds the lock.
func (db *Database) commitTransaction(s *session, tx *transaction) *sqlError {
	if len(tx.writeOrder) == 0 && len(tx.logRows) == 0 {
		return nil
	}
	switch {
	case s.dropped:
		return sqlErrorf(codeAdminShutdown, "terminating connection due to administrator command")
	case db.role != rolePrimary:
		return sqlErrorf(codeReadOnlyTransaction, "cannot commit a write: the server is not a primary")
	case tx.generation != db.generation:
		return sqlErrorf(codeSerializationFailure, "could not serialize access due to a discarded log tail")
	}
	for _, key := range tx.writeOrder {
		if db.data.changedAfter(key, tx.snapshot) {
			return sqlErrorf(codeSerializationFailure, "could not serialize access due to concurrent update")
		}
	}
	db.commit(tx.newEntry(db.term, db.lastIndex()+1))
	db.record.Commits++
	return nil
}

// executeData runs a data statement in the transaction. The caller holds the
// lock.
func (db *Database) executeData(tx *transaction, st *statement, args []value) (*result, *sqlError) {
	if st.writes() {
		return db.executeWrite(tx, st, args)
	}
	r := &result{columns: st.columns, tag: st.tag, countRows: true}
	switch st.kind {
	case kindGet:
		if v, ok := tx.get(db.data, args[0].text); ok {
			r.rows = [][]value{{textValue(v)}}
		}
	case kindScan:
		for _, row := range tx.scan(db.data) {
			r.rows = append(r.rows, []value{textValue(row[0]), textValue(row[1])})
		}
	case kindCountRows:
		r.rows = [][]value{{intValue(len(tx.scan(db.data)))}}
	case kindLogCount:
		r.rows = [][]value{{intValue(tx.countLogRows(db.data, args[0].text))}}
	case kindLogTotal:
		r.rows = [][]value{{intValue(len(tx.scanLog(db.data)))}}
	case kindLogScan:
		for _, text := range tx.scanLog(db.data) {
			r.rows = append(r.rows, []value{textValue(text)})
		}
	case kindSleep:
		r.rows = [][]value{{textValue("")}}
	case kindExpression:
		r.rows = [][]value{{args[0]}}
	case kindRepeat:
		n, err := strconv.Atoi(args[1].text)
		if err != nil || n < 0 {
			return nil, sqlErrorf(codeInvalidTextRepresentation, "invalid count: %q", args[1].text)
		}
		r.rows = [][]value{{textValue(strings.Repeat(args[0].text, n))}}
	case kindSeries:
		return executeSeries(r, args)
	}
	return r, nil
}

func executeSeries(r *result, args []value) (*result, *sqlError) {
	first, err1 := strconv.Atoi(args[0].text)
	last, err2 := strconv.Atoi(args[1].text)
	if err1 != nil || err2 != nil {
		return nil, sqlErrorf(codeInvalidTextRepresentation, "invalid bounds: %q, %q", args[0].text, args[1].text)
	}
	r.generateRow = func(i int) ([]value, bool) {
		if first+i > last {
			return nil, false
		}
		return []value{intValue(first + i)}, true
	}
	return r, nil
}

func (db *Database) executeWrite(tx *transaction, st *statement, args []value) (*result, *sqlError) {
	for _, arg := range args {
		if arg.null {
			return nil, sqlErrorf("23502", "null value violates a not-null constraint")
		}
	}
	affected := 1
	written := ""
	switch st.kind {
	case kindUpsert:
		written = args[1].text
		tx.write(change{Key: args[0].text, Value: written})
	case kindInsert:
		if _, ok := tx.get(db.data, args[0].text); ok {
			return nil, sqlErrorf(codeUniqueViolation, "duplicate key value violates unique constraint \"kv_pkey\"")
		}
		written = args[1].text
		tx.write(change{Key: args[0].text, Value: written})
	case kindUpdate:
		if _, ok := tx.get(db.data, args[1].text); !ok {
			affected = 0
			break
		}
		written = args[0].text
		tx.write(change{Key: args[1].text, Value: written})
	case kindIncrement, kindUpsertIncrement:
		var err *sqlError
		if written, affected, err = executeIncrement(tx, db.data, st, args); err != nil {
			return nil, err
		}
	case kindDelete:
		if _, ok := tx.get(db.data, args[0].text); !ok {
			affected = 0
			break
		}
		tx.write(change{Key: args[0].text, Deleted: true})
	case kindLogInsert:
		tx.logRows = append(tx.logRows, args[0].text)
	}
	return writeResult(st, affected, written), nil
}

func writeResult(st *statement, affected int, written string) *result {
	tag := st.tag
	if tag == "INSERT" {
		tag += " 0"
	}
	r := &result{columns: st.columns, tag: fmt.Sprintf("%s %d", tag, affected)}
	if len(st.columns) > 0 && affected > 0 {
		r.rows = [][]value{{textValue(written)}}
	}
	return r
}

func executeIncrement(tx *transaction, data *store, st *statement, args []value) (string, int, *sqlError) {
	key, amount := args[1].text, args[0].text
	if st.kind == kindUpsertIncrement {
		key, amount = args[0].text, "1"
	}
	current, ok := tx.get(data, key)
	if !ok {
		if st.kind == kindUpsertIncrement {
			tx.write(change{Key: key, Value: args[1].text})
			return args[1].text, 1, nil
		}
		return "", 0, nil
	}
	n, err1 := strconv.ParseInt(current, 10, 64)
	by, err2 := strconv.ParseInt(amount, 10, 64)
	if err1 != nil || err2 != nil {
		return "", 0, sqlErrorf(codeInvalidTextRepresentation, "invalid input syntax for type bigint: %q", current)
	}
	written := strconv.FormatInt(n+by, 10)
	tx.write(change{Key: key, Value: written})
	return written, 1, nil
}

// callContract runs a function of the database contract.
func (s *session) callContract(st *statement, args []value) (*result, *sqlError) {
	r := &result{columns: st.columns, tag: "SELECT", countRows: true}
	var numericArg uint64
	if len(args) > 0 {
		n, err := strconv.ParseUint(args[0].text, 10, 64)
		if err != nil {
			return nil, sqlErrorf(codeInvalidTextRepresentation, "invalid number: %q", args[0].text)
		}
		numericArg = n
	}
	db := s.db
	db.lock()
	defer db.mu.Unlock()
	if s.dropped {
		return nil, sqlErrorf(codeAdminShutdown, "terminating connection due to administrator command")
	}
	if st.words[0] != "status" && db.settings.ControlUser != "" && !s.isControlUser {
		return nil, sqlErrorf(codeInsufficientPrivilege, "permission denied for function %s", st.words[0])
	}
	var err *sqlError
	row := []value{textValue("")}
	switch st.words[0] {
	case "status":
		row = statusRow(db.status(), false)
	case "fence":
		db.fence(numericArg)
		row = statusRow(db.status(), true)
	case "promote":
		err = db.promote(numericArg)
	case "follow":
		err = db.follow(numericArg, args[1].text)
	case "evict":
		row = []value{intValue(db.evict(numericArg, s))}
	}
	if st.mark != "" {
		row = append([]value{textValue(st.mark)}, row...)
	}
	r.rows = [][]value{row}
	return r, err
}

func statusRow(status Status, withReceived bool) []value {
	number := func(n uint64) value { return textValue(strconv.FormatUint(n, 10)) }
	row := []value{
		textValue(status.Server), number(status.Term), textValue(status.Role), number(status.Position),
		number(status.MajorityPosition), intValue(status.Connections),
	}
	if withReceived {
		row = append(row, number(status.ReceivedPosition))
	}
	return row
}

// sessionCommand runs transaction control and the statements on session
// settings.
func (s *session) sessionCommand(st *statement) (*result, *sqlError) {
	r := &result{tag: st.tag}
	switch st.kind {
	case kindBegin:
		return r, s.beginExplicit(st.words[0])
	case kindCommit:
		return s.commit(r)
	case kindRollback:
		s.endTransaction(true)
	case kindSetTransaction:
		if readOnly, ok := readOnlyMode(st.words[0]); ok && s.tx != nil {
			s.tx.readOnly = readOnly
		}
	case kindSetCharacteristics:
		if readOnly, ok := readOnlyMode(st.words[0]); ok {
			s.setSetting("default_transaction_read_only", map[bool]string{true: "on", false: "off"}[readOnly])
		}
	case kindSet:
		s.setSetting(st.words[0], unquote(st.words[1]))
	case kindSetLocal:
		s.setLocalSetting(st.words[0], unquote(st.words[1]))
	case kindReset:
		name := canonicalName(s.settings, st.words[0])
		s.setSetting(name, s.startupSettings[name])
	case kindResetAll, kindDiscardAll:
		s.resetAllSettings()
		if st.kind == kindDiscardAll {
			clear(s.preparedStatements)
		}
	case kindDeallocateAll:
		clear(s.preparedStatements)
	case kindDeallocate:
		delete(s.preparedStatements, st.words[0])
	case kindShow:
		r.columns, r.countRows = st.columns, false
		v, err := s.showSetting(st.words[0])
		r.rows = [][]value{{textValue(v)}}
		return r, err
	case kindUnlockAll:
		r.columns, r.countRows, r.rows = st.columns, true, [][]value{{textValue("")}}
	case kindBackendPID:
		r.columns, r.countRows, r.rows = st.columns, true, [][]value{{intValue(int(s.id))}}
	}
	return r, nil
}

func (s *session) beginExplicit(modes string) *sqlError {
	if s.tx != nil && s.tx.explicit {
		return nil
	}
	if s.tx == nil {
		s.tx = &transaction{readOnly: isOn(s.settings["default_transaction_read_only"])}
	}
	s.tx.explicit = true
	s.tx.savedSettings = maps.Clone(s.settings)
	if readOnly, ok := readOnlyMode(modes); ok {
		s.tx.readOnly = readOnly
	}
	return nil
}

// commit commits the session's transaction, or rolls it back if it has failed.
func (s *session) commit(r *result) (*result, *sqlError) {
	tx := s.tx
	if tx == nil {
		return r, nil
	}
	if tx.failed {
		s.endTransaction(true)
		r.tag = "ROLLBACK"
		return r, nil
	}
	s.db.lock()
	err := s.db.commitTransaction(s, tx)
	s.db.mu.Unlock()
	s.endTransaction(err != nil)
	return r, err
}

// endTransaction discards the transaction. It restores the settings changed by
// SET LOCAL and, on rollback, all settings changed in the transaction.
func (s *session) endTransaction(rollback bool) {
	tx := s.tx
	s.tx = nil
	if tx == nil {
		return
	}
	for name, v := range tx.savedLocals {
		if v == nil {
			delete(s.settings, name)
		} else {
			s.setSetting(name, *v)
		}
	}
	if rollback && tx.savedSettings != nil {
		s.settings = tx.savedSettings
	}
}

// failTransaction marks an explicit transaction as failed and rolls back an
// implicit one.
func (s *session) failTransaction() {
	if s.tx == nil {
		return
	}
	if s.tx.explicit {
		s.tx.failed = true
		return
	}
	s.endTransaction(true)
}

func (s *session) showSetting(name string) (string, *sqlError) {
	switch strings.ToLower(name) {
	case "transaction_read_only":
		if s.tx != nil && s.tx.readOnly || isOn(s.settings["default_transaction_read_only"]) {
			return "on", nil
		}
		return "off", nil
	case "transaction_isolation":
		return "repeatable read", nil
	case "server_version":
		return "16.0", nil
	case "standin.record":
		text, err := json.Marshal(s.db.Record())
		if err != nil {
			return "", sqlErrorf("XX000", "record: %v", err)
		}
		return string(text), nil
	}
	v, ok := s.settings[canonicalName(s.settings, name)]
	if !ok {
		return "", sqlErrorf(codeUndefinedObject, "unrecognized configuration parameter %q", name)
	}
	return v, nil
}
