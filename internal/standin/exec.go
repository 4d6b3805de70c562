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

// result is the answer to one statement. Rows are either listed or generated.
type result struct {
	columns  []column
	rows     [][]value
	generate func(i int) ([]value, bool)
	next     int
	// tag is the command tag; with countRows the number of rows is appended.
	tag       string
	countRows bool
	// done is called once the result is sent or abandoned.
	done func()
}

func (r *result) row() ([]value, bool) {
	i := r.next
	r.next++
	if r.generate != nil {
		return r.generate(i)
	}
	if i >= len(r.rows) {
		return nil, false
	}
	return r.rows[i], true
}

func (r *result) finish() {
	if r.done != nil {
		r.done()
		r.done = nil
	}
}

// execute runs a statement other than COPY. With single, a data statement
// outside a transaction commits before its result is returned.
func (s *session) execute(st *statement, params []value, single bool) (*result, *sqlError) {
	if s.tx != nil && s.tx.failed && !st.endsTransaction() {
		return nil, failf(codeFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
	}
	args, err := bind(st, params)
	if err != nil {
		return nil, err
	}
	switch {
	case st.kind == kindContract:
		return s.callContract(st, args)
	case !st.isData():
		return s.sessionCommand(st)
	}
	ctx, release, err := s.acquire()
	if err != nil {
		return nil, err
	}
	r, err := s.runData(ctx, st, args, single)
	if err != nil {
		release()
		return nil, err
	}
	r.done = release
	return r, nil
}

// bind returns the values of a statement's operands.
func bind(st *statement, params []value) ([]value, *sqlError) {
	args := make([]value, len(st.operands))
	for i, o := range st.operands {
		switch {
		case o.param > len(params):
			return nil, failf(codeSyntax, "there is no parameter $%d", o.param)
		case o.param > 0:
			args[i] = params[o.param-1]
		default:
			args[i] = value{text: o.text, null: o.null}
		}
	}
	return args, nil
}

// acquire takes a slot and waits for the service time. The returned context
// ends when the statement is cancelled.
func (s *session) acquire() (context.Context, func(), *sqlError) {
	ctx, cancel := context.WithCancelCause(s.life.ctx)
	s.db.lock()
	if s.dropped {
		s.db.mu.Unlock()
		cancel(nil)
		return nil, nil, failf(codeShutdown, "terminating connection")
	}
	s.cancel = cancel
	s.db.waiting++
	s.db.record.LastData = time.Now()
	s.db.record.MaxOffered = max(s.db.record.MaxOffered, s.db.waiting+s.db.running)
	service := s.db.settings.ServiceTime
	s.db.mu.Unlock()
	select {
	case s.db.slots <- struct{}{}:
	case <-ctx.Done():
	}
	s.db.mu.Lock()
	s.db.waiting--
	if ctx.Err() != nil {
		s.cancel = nil
		s.db.mu.Unlock()
		return nil, nil, causeOf(ctx)
	}
	s.db.running++
	s.db.record.MaxRunning = max(s.db.record.MaxRunning, s.db.running)
	s.db.mu.Unlock()
	release := func() {
		s.db.mu.Lock()
		s.db.running--
		s.cancel = nil
		s.db.mu.Unlock()
		<-s.db.slots
		cancel(nil)
	}
	if !clock.Sleep(ctx, s.db.dice.draw(service)) {
		err := causeOf(ctx)
		release()
		return nil, nil, err
	}
	return ctx, release, nil
}

func causeOf(ctx context.Context) *sqlError {
	if err, ok := context.Cause(ctx).(*sqlError); ok {
		return err
	}
	return failf(codeShutdown, "the database is shutting down")
}

// runData runs a data statement in the open transaction or in a new one.
func (s *session) runData(ctx context.Context, st *statement, args []value, single bool) (*result, *sqlError) {
	if st.kind == kindSleep {
		seconds, err := strconv.ParseFloat(args[0].text, 64)
		if err != nil {
			return nil, failf(codeInvalidText, "invalid number: %q", args[0].text)
		}
		if !clock.Sleep(ctx, time.Duration(seconds*float64(time.Second))) {
			return nil, causeOf(ctx)
		}
	}
	s.db.lock()
	defer s.db.mu.Unlock()
	if ctx.Err() != nil {
		return nil, causeOf(ctx)
	}
	implicit := s.tx == nil
	tx, err := s.begin(st.writes())
	if err != nil {
		return nil, err
	}
	r, err := s.db.perform(tx, st, args)
	if err != nil {
		if implicit {
			s.tx = nil
		}
		return nil, err
	}
	if implicit && single {
		s.tx = nil
		if err := s.db.finish(s, tx); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// begin returns the open transaction or a new implicit one, with its snapshot
// taken. The caller holds the lock.
func (s *session) begin(writes bool) (*transaction, *sqlError) {
	if s.tx == nil {
		s.tx = &transaction{readOnly: isOn(s.settings["default_transaction_read_only"])}
	}
	tx := s.tx
	if writes && (tx.readOnly || s.db.role != rolePrimary) {
		if !tx.explicit {
			s.tx = nil
		}
		return nil, failf(codeReadOnly, "cannot execute a write in a read-only transaction")
	}
	if !tx.started {
		tx.started, tx.snapshot, tx.generation = true, s.db.applied, s.db.generation
	}
	if tx.generation != s.db.generation {
		return nil, failf(codeSerialization, "canceling statement due to a discarded log tail")
	}
	return tx, nil
}

// finish commits a transaction. The caller holds the lock.
func (db *Database) finish(s *session, tx *transaction) *sqlError {
	if len(tx.order) == 0 && len(tx.logged) == 0 {
		return nil
	}
	switch {
	case s.dropped:
		return failf(codeShutdown, "terminating connection due to administrator command")
	case db.role != rolePrimary:
		return failf(codeReadOnly, "cannot commit a write: the server is not a primary")
	case tx.generation != db.generation:
		return failf(codeSerialization, "could not serialize access due to a discarded log tail")
	}
	for _, key := range tx.order {
		if db.data.changedAfter(key, tx.snapshot) {
			return failf(codeSerialization, "could not serialize access due to concurrent update")
		}
	}
	db.commit(tx.entry(db.term, db.last()+1))
	db.record.Commits++
	return nil
}

// perform runs a data statement. The caller holds the lock.
func (db *Database) perform(tx *transaction, st *statement, args []value) (*result, *sqlError) {
	if st.writes() {
		return db.performWrite(tx, st, args)
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
		r.rows = [][]value{{intValue(tx.count(db.data, args[0].text))}}
	case kindLogTotal:
		r.rows = [][]value{{intValue(len(tx.entries(db.data)))}}
	case kindLogScan:
		for _, text := range tx.entries(db.data) {
			r.rows = append(r.rows, []value{textValue(text)})
		}
	case kindSleep:
		r.rows = [][]value{{textValue("")}}
	case kindExpression:
		r.rows = [][]value{{args[0]}}
	case kindRepeat:
		n, err := strconv.Atoi(args[1].text)
		if err != nil || n < 0 {
			return nil, failf(codeInvalidText, "invalid count: %q", args[1].text)
		}
		r.rows = [][]value{{textValue(strings.Repeat(args[0].text, n))}}
	case kindSeries:
		return series(r, args)
	}
	return r, nil
}

func series(r *result, args []value) (*result, *sqlError) {
	first, err1 := strconv.Atoi(args[0].text)
	last, err2 := strconv.Atoi(args[1].text)
	if err1 != nil || err2 != nil {
		return nil, failf(codeInvalidText, "invalid bounds: %q, %q", args[0].text, args[1].text)
	}
	r.generate = func(i int) ([]value, bool) {
		if first+i > last {
			return nil, false
		}
		return []value{intValue(first + i)}, true
	}
	return r, nil
}

func (db *Database) performWrite(tx *transaction, st *statement, args []value) (*result, *sqlError) {
	for _, arg := range args {
		if arg.null {
			return nil, failf("23502", "null value violates a not-null constraint")
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
			return nil, failf(codeUniqueViolation, "duplicate key value violates unique constraint \"kv_pkey\"")
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
		if written, affected, err = increment(tx, db.data, st, args); err != nil {
			return nil, err
		}
	case kindDelete:
		if _, ok := tx.get(db.data, args[0].text); !ok {
			affected = 0
			break
		}
		tx.write(change{Key: args[0].text, Deleted: true})
	case kindLogInsert:
		tx.logged = append(tx.logged, args[0].text)
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

func increment(tx *transaction, data *store, st *statement, args []value) (string, int, *sqlError) {
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
		return "", 0, failf(codeInvalidText, "invalid input syntax for type bigint: %q", current)
	}
	written := strconv.FormatInt(n+by, 10)
	tx.write(change{Key: key, Value: written})
	return written, 1, nil
}

// callContract runs a function of the database contract.
func (s *session) callContract(st *statement, args []value) (*result, *sqlError) {
	r := &result{columns: st.columns, tag: "SELECT", countRows: true}
	var number uint64
	if len(args) > 0 {
		n, err := strconv.ParseUint(args[0].text, 10, 64)
		if err != nil {
			return nil, failf(codeInvalidText, "invalid number: %q", args[0].text)
		}
		number = n
	}
	db := s.db
	db.lock()
	defer db.mu.Unlock()
	if s.dropped {
		return nil, failf(codeShutdown, "terminating connection due to administrator command")
	}
	if st.words[0] != "status" && db.settings.ControlUser != "" && !s.control {
		return nil, failf(codePrivilege, "permission denied for function %s", st.words[0])
	}
	var err *sqlError
	row := []value{textValue("")}
	switch st.words[0] {
	case "status":
		row = statusRow(db.status(), false)
	case "fence":
		db.fence(number)
		row = statusRow(db.status(), true)
	case "promote":
		err = db.promote(number)
	case "follow":
		err = db.follow(number, args[1].text)
	case "evict":
		row = []value{intValue(db.evict(number, s))}
	}
	r.rows = [][]value{row}
	return r, err
}

func statusRow(status Status, received bool) []value {
	number := func(n uint64) value { return textValue(strconv.FormatUint(n, 10)) }
	row := []value{
		textValue(status.Server), number(status.Term), textValue(status.Role), number(status.Position),
		number(status.Held), intValue(status.Connections),
	}
	if received {
		row = append(row, number(status.Received))
	}
	return row
}

// sessionCommand runs transaction control and the statements on settings.
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
			s.set("default_transaction_read_only", map[bool]string{true: "on", false: "off"}[readOnly])
		}
	case kindSet:
		s.set(st.words[0], unquote(st.words[1]))
	case kindSetLocal:
		s.setLocal(st.words[0], unquote(st.words[1]))
	case kindReset:
		name := canonical(s.settings, st.words[0])
		s.set(name, s.startup[name])
	case kindResetAll, kindDiscardAll:
		s.resetAll()
		if st.kind == kindDiscardAll {
			clear(s.prepared)
		}
	case kindDeallocateAll:
		clear(s.prepared)
	case kindDeallocate:
		delete(s.prepared, st.words[0])
	case kindShow:
		r.columns, r.countRows = st.columns, false
		v, err := s.show(st.words[0])
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
	s.tx.before = maps.Clone(s.settings)
	if readOnly, ok := readOnlyMode(modes); ok {
		s.tx.readOnly = readOnly
	}
	return nil
}

// commit ends the transaction; a failed one is rolled back.
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
	err := s.db.finish(s, tx)
	s.db.mu.Unlock()
	s.endTransaction(err != nil)
	return r, err
}

// endTransaction forgets the transaction and restores settings.
func (s *session) endTransaction(rollback bool) {
	tx := s.tx
	s.tx = nil
	if tx == nil {
		return
	}
	for name, v := range tx.locals {
		if v == nil {
			delete(s.settings, name)
		} else {
			s.set(name, *v)
		}
	}
	if rollback && tx.before != nil {
		s.settings = tx.before
	}
}

// fail marks the open transaction as failed.
func (s *session) fail() {
	if s.tx == nil {
		return
	}
	if s.tx.explicit {
		s.tx.failed = true
		return
	}
	s.endTransaction(true)
}

func (s *session) show(name string) (string, *sqlError) {
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
			return "", failf("XX000", "record: %v", err)
		}
		return string(text), nil
	}
	v, ok := s.settings[canonical(s.settings, name)]
	if !ok {
		return "", failf(codeUndefinedObject, "unrecognized configuration parameter %q", name)
	}
	return v, nil
}
