package standin

import (
	"regexp"
	"strconv"
	"strings"
	"sync"

	"github.com/jackc/pgx/v5/pgtype"
)

type statementKind int

const (
	kindEmpty statementKind = iota
	// Data statements, which occupy a slot.
	kindGet
	kindScan
	kindCountRows
	kindUpsert
	kindInsert
	kindUpdate
	kindIncrement
	kindUpsertIncrement
	kindDelete
	kindLogInsert
	kindLogCount
	kindLogTotal
	kindLogScan
	kindSleep
	kindSeries
	kindRepeat
	kindExpression
	kindCopyIn
	kindCopyOut
	// Session statements, which need no slot.
	kindBegin
	kindCommit
	kindRollback
	kindSet
	kindSetLocal
	kindSetTransaction
	kindSetCharacteristics
	kindReset
	kindResetAll
	kindShow
	kindDiscardAll
	kindDeallocate
	kindDeallocateAll
	kindUnlockAll
	kindBackendPID
	// kindNoOp is accepted without effect.
	kindNoOp
	kindContract
)

// operand is a literal or a parameter of a statement.
type operand struct {
	param int // 1-based, 0 for a literal
	text  string
	null  bool
	oid   uint32
}

// statement is one parsed SQL statement.
type statement struct {
	kind     statementKind
	sql      string
	tag      string
	operands []operand
	columns  []column
	params   []uint32
	// words holds the captured parts of a session statement, or the name of a
	// contract function.
	words []string
	// binary is set for COPY in the binary format.
	binary bool
	// mark is the first value of each row of a contract call, empty for none.
	mark string
}

func (s *statement) isData() bool { return s.kind >= kindGet && s.kind <= kindCopyOut }

func (s *statement) writes() bool {
	switch s.kind {
	case kindUpsert, kindInsert, kindUpdate, kindIncrement, kindUpsertIncrement, kindDelete, kindLogInsert, kindCopyIn:
		return true
	}
	return false
}

func (s *statement) endsTransaction() bool { return s.kind == kindCommit || s.kind == kindRollback }

const (
	operandPattern = `(\$\d+|'(?:[^']|'')*'|-?\d+(?:\.\d+)?|NULL)(?:\s*::\s*([A-Za-z]\w*))?`
	castNames      = "text varchar int4 int8 integer bigint float8 boolean"
)

var castOIDs = map[string]uint32{
	"text": pgtype.TextOID, "varchar": pgtype.TextOID, "int4": pgtype.Int4OID, "integer": pgtype.Int4OID,
	"int": pgtype.Int4OID, "int8": pgtype.Int8OID, "bigint": pgtype.Int8OID, "float8": pgtype.Float8OID,
	"boolean": pgtype.BoolOID, "bool": pgtype.BoolOID,
}

// dataPattern matches one form of a data statement. Its source is SQL with a
// question mark for each operand; white space, letter case, quotes of
// identifiers and casts of operands may vary.
type dataPattern struct {
	expr     *regexp.Regexp
	kind     statementKind
	tag      string
	operands []uint32
	columns  []column
}

var tokenPattern = regexp.MustCompile(`\?|'[^']*'|\w+|[^\s\w]`)

// compilePattern translates the source of a dataPattern into a regular
// expression.
func compilePattern(source string) *regexp.Regexp {
	var b strings.Builder
	b.WriteString(`(?is)^`)
	wordBefore := false
	for i, token := range tokenPattern.FindAllString(source, -1) {
		isWord := token == "?" || token[0] == '\'' || regexp.MustCompile(`^\w`).MatchString(token)
		switch {
		case i == 0:
		case isWord && wordBefore:
			b.WriteString(`\s+`)
		default:
			b.WriteString(`\s*`)
		}
		switch {
		case token == "?":
			b.WriteString(operandPattern)
		case isWord && token[0] != '\'':
			b.WriteString(`"?` + token + `"?`)
		default:
			b.WriteString(regexp.QuoteMeta(token))
		}
		wordBefore = isWord
	}
	b.WriteString(`$`)
	return regexp.MustCompile(b.String())
}

var (
	textOID         = uint32(pgtype.TextOID)
	valueColumns    = []column{{"value", textOID}}
	keyValueColumns = []column{{"key", textOID}, {"value", textOID}}
	countColumns    = []column{{"count", pgtype.Int8OID}}
	oneTextOperand  = []uint32{pgtype.TextOID}
	twoTextOperands = []uint32{pgtype.TextOID, pgtype.TextOID}
)

func newDataPattern(k statementKind, tag, source string, operands []uint32, columns []column) dataPattern {
	return dataPattern{expr: compilePattern(source), kind: k, tag: tag, operands: operands, columns: columns}
}

const upsertPrefix = "INSERT INTO kv (key, value) VALUES (?, ?) ON CONFLICT (key) DO UPDATE SET value = "

// withReturning appends a pattern for the statement and one for the same
// statement with RETURNING value.
func withReturning(patterns []dataPattern, k statementKind, tag, source string, operands []uint32) []dataPattern {
	return append(
		patterns,
		newDataPattern(k, tag, source, operands, nil),
		newDataPattern(k, tag, source+" RETURNING value", operands, valueColumns),
	)
}

var dataPatterns = buildDataPatterns()

func buildDataPatterns() []dataPattern {
	patterns := []dataPattern{
		newDataPattern(kindGet, "SELECT", "SELECT value FROM kv WHERE key = ?", oneTextOperand, valueColumns),
		newDataPattern(kindScan, "SELECT", "SELECT key, value FROM kv", nil, keyValueColumns),
		newDataPattern(kindScan, "SELECT", "SELECT key, value FROM kv ORDER BY key", nil, keyValueColumns),
		newDataPattern(kindCountRows, "SELECT", "SELECT count(*) FROM kv", nil, countColumns),
		newDataPattern(kindDelete, "DELETE", "DELETE FROM kv WHERE key = ?", oneTextOperand, nil),
		newDataPattern(kindLogInsert, "INSERT", "INSERT INTO log (entry) VALUES (?)", oneTextOperand, nil),
		newDataPattern(kindLogCount, "SELECT", "SELECT count(*) FROM log WHERE entry = ?", oneTextOperand, countColumns),
		newDataPattern(kindLogTotal, "SELECT", "SELECT count(*) FROM log", nil, countColumns),
		newDataPattern(kindLogScan, "SELECT", "SELECT entry FROM log", nil, []column{{"entry", textOID}}),
		newDataPattern(kindSleep, "SELECT", "SELECT pg_sleep(?)", []uint32{pgtype.Float8OID}, []column{{"pg_sleep", voidOID}}),
		newDataPattern(kindSeries, "SELECT", "SELECT generate_series(?, ?)", []uint32{pgtype.Int4OID, pgtype.Int4OID},
			[]column{{"generate_series", pgtype.Int4OID}}),
		newDataPattern(kindRepeat, "SELECT", "SELECT repeat(?, ?)", []uint32{pgtype.TextOID, pgtype.Int4OID}, []column{{"repeat", textOID}}),
		newDataPattern(kindBackendPID, "SELECT", "SELECT pg_backend_pid()", nil, []column{{"pg_backend_pid", pgtype.Int4OID}}),
		newDataPattern(kindExpression, "SELECT", "SELECT ?", []uint32{0}, []column{{"?column?", 0}}),
		newDataPattern(kindUnlockAll, "SELECT", "SELECT pg_advisory_unlock_all()", nil, []column{{"pg_advisory_unlock_all", voidOID}}),
	}
	patterns = withReturning(patterns, kindUpsert, "INSERT", upsertPrefix+"excluded.value", twoTextOperands)
	patterns = withReturning(patterns, kindUpsertIncrement, "INSERT", upsertPrefix+"(kv.value::int8 + 1)::text", twoTextOperands)
	patterns = withReturning(patterns, kindInsert, "INSERT", "INSERT INTO kv (key, value) VALUES (?, ?)", twoTextOperands)
	patterns = withReturning(patterns, kindUpdate, "UPDATE", "UPDATE kv SET value = ? WHERE key = ?", twoTextOperands)
	patterns = withReturning(patterns, kindIncrement, "UPDATE", "UPDATE kv SET value = (value::int8 + ?)::text WHERE key = ?",
		[]uint32{pgtype.Int8OID, pgtype.TextOID})
	return patterns
}

// sessionPattern matches a statement that needs no slot. The capture groups of
// the expression become the words of the statement.
type sessionPattern struct {
	expr *regexp.Regexp
	kind statementKind
	tag  string
}

const beginModes = `((?:\s*,?\s*(?:ISOLATION\s+LEVEL\s+(?:SERIALIZABLE|REPEATABLE\s+READ|READ\s+COMMITTED|READ\s+UNCOMMITTED)|` +
	`READ\s+ONLY|READ\s+WRITE|NOT\s+DEFERRABLE|DEFERRABLE))*)`

var sessionPatterns = []sessionPattern{
	{regexp.MustCompile(`(?is)^(?:BEGIN(?:\s+(?:WORK|TRANSACTION))?|START\s+TRANSACTION)` + beginModes + `$`), kindBegin, "BEGIN"},
	{regexp.MustCompile(`(?is)^(?:COMMIT|END)(?:\s+(?:WORK|TRANSACTION))?$`), kindCommit, "COMMIT"},
	{regexp.MustCompile(`(?is)^(?:ROLLBACK|ABORT)(?:\s+(?:WORK|TRANSACTION))?$`), kindRollback, "ROLLBACK"},
	{regexp.MustCompile(`(?is)^SET\s+TRANSACTION` + beginModes + `$`), kindSetTransaction, "SET"},
	{regexp.MustCompile(`(?is)^SET\s+SESSION\s+CHARACTERISTICS\s+AS\s+TRANSACTION` + beginModes + `$`), kindSetCharacteristics, "SET"},
	{regexp.MustCompile(`(?is)^SET\s+LOCAL\s+([\w.]+)\s*(?:=|\s+TO\s)\s*(.+)$`), kindSetLocal, "SET"},
	{regexp.MustCompile(`(?is)^SET\s+(?:SESSION\s+)?([\w.]+)\s*(?:=|\s+TO\s)\s*(.+)$`), kindSet, "SET"},
	{regexp.MustCompile(`(?is)^RESET\s+ALL$`), kindResetAll, "RESET"},
	{regexp.MustCompile(`(?is)^RESET\s+([\w.]+)$`), kindReset, "RESET"},
	{regexp.MustCompile(`(?is)^SHOW\s+([\w.]+)$`), kindShow, "SHOW"},
	{regexp.MustCompile(`(?is)^DISCARD\s+ALL$`), kindDiscardAll, "DISCARD ALL"},
	{regexp.MustCompile(`(?is)^DEALLOCATE\s+(?:PREPARE\s+)?ALL$`), kindDeallocateAll, "DEALLOCATE ALL"},
	{regexp.MustCompile(`(?is)^DEALLOCATE\s+(?:PREPARE\s+)?"?(\w+)"?$`), kindDeallocate, "DEALLOCATE"},
	{regexp.MustCompile(`(?is)^CLOSE\s+ALL$`), kindNoOp, "CLOSE CURSOR ALL"},
	{regexp.MustCompile(`(?is)^UNLISTEN\s+(?:\*|"?\w+"?)$`), kindNoOp, "UNLISTEN"},
	{regexp.MustCompile(`(?is)^LISTEN\s+"?\w+"?$`), kindNoOp, "LISTEN"},
	{regexp.MustCompile(`(?is)^DISCARD\s+(?:TEMP|TEMPORARY)$`), kindNoOp, "DISCARD TEMP"},
	{regexp.MustCompile(`(?is)^DISCARD\s+SEQUENCES$`), kindNoOp, "DISCARD SEQUENCES"},
	{regexp.MustCompile(`(?is)^DISCARD\s+PLANS$`), kindNoOp, "DISCARD PLANS"},
}

var (
	// markPattern matches the mark with which the proxy recognises the answer to a call
	// of the contract.
	markPattern     = regexp.MustCompile(`(?is)^(SELECT\s+)(\d+)\s+AS\s+(\w+)\s*,\s*((?:\*\s+FROM\s+)?cranberryhinge\..*)$`)
	contractPattern = regexp.MustCompile(`(?is)^SELECT\s+(?:\*\s+FROM\s+)?cranberryhinge\.(\w+)\s*\(([^)]*)\)$`)
	copyInPattern   = regexp.MustCompile(`(?is)^COPY\s+"?kv"?\s*(?:\(\s*"?key"?\s*,\s*"?value"?\s*\)\s*)?FROM\s+STDIN(.*)$`)
	copyOutPattern  = regexp.MustCompile(`(?is)^COPY\s+"?kv"?\s*(?:\(\s*"?key"?\s*,\s*"?value"?\s*\)\s*)?TO\s+STDOUT$`)
	operandExpr     = regexp.MustCompile(`(?is)^\s*` + operandPattern + `\s*$`)
	commentPattern  = regexp.MustCompile(`(?s)^(?:\s+|--[^\n]*(?:\n|$)|/\*.*?\*/)`)
	binaryPattern   = regexp.MustCompile(`(?i)\bbinary\b`)
)

// splitStatements splits a simple query at the semicolons outside quotes and
// omits empty statements.
func splitStatements(sql string) []string {
	var parts []string
	quote := byte(0)
	start := 0
	for i := 0; i < len(sql); i++ {
		c := sql[i]
		switch {
		case quote != 0:
			if c == quote {
				quote = 0
			}
		case c == '\'' || c == '"':
			quote = c
		case c == ';':
			parts = append(parts, sql[start:i])
			start = i + 1
		}
	}
	parts = append(parts, sql[start:])
	var statements []string
	for _, part := range parts {
		if part = trimStatement(part); part != "" {
			statements = append(statements, part)
		}
	}
	return statements
}

// trimStatement removes white space, leading comments and trailing semicolons.
func trimStatement(sql string) string {
	for {
		prefix := commentPattern.FindString(sql)
		if prefix == "" {
			break
		}
		sql = sql[len(prefix):]
	}
	return strings.TrimRight(sql, "; \t\r\n")
}

// Limits of the cache of parsed statements. Statements longer than
// parseCacheBytes are not cached, so that literals of bulk loads do not fill
// the memory.
const (
	parseCacheEntries = 4096
	parseCacheBytes   = 512
)

var parseCache struct {
	sync.Mutex
	statements map[string]*statement
}

// parse parses one statement. The result is shared through the cache and must
// not be modified.
func parse(sql string) (*statement, *sqlError) {
	if !strings.Contains(sql, "cranberryhinge.") {
		return parseCached(sql)
	}
	if m := markPattern.FindStringSubmatch(trimStatement(sql)); m != nil {
		call, err := parseCached(m[1] + m[4])
		if err != nil {
			return nil, err
		}
		marked := *call
		marked.mark = m[2]
		marked.columns = append([]column{{m[3], pgtype.Int8OID}}, call.columns...)
		return &marked, nil
	}
	return parseCached(sql)
}

func parseCached(sql string) (*statement, *sqlError) {
	if len(sql) > parseCacheBytes {
		return parseUncached(sql)
	}
	parseCache.Lock()
	st, ok := parseCache.statements[sql]
	parseCache.Unlock()
	if ok {
		return st, nil
	}
	st, err := parseUncached(sql)
	if err != nil {
		return nil, err
	}
	parseCache.Lock()
	defer parseCache.Unlock()
	if parseCache.statements == nil || len(parseCache.statements) >= parseCacheEntries {
		parseCache.statements = make(map[string]*statement)
	}
	parseCache.statements[sql] = st
	return st, nil
}

func parseUncached(sql string) (*statement, *sqlError) {
	sql = trimStatement(sql)
	if sql == "" {
		return &statement{kind: kindEmpty}, nil
	}
	for i := range sessionPatterns {
		p := &sessionPatterns[i]
		if m := p.expr.FindStringSubmatch(sql); m != nil {
			return newSessionStatement(p, sql, m[1:]), nil
		}
	}
	if m := contractPattern.FindStringSubmatch(sql); m != nil {
		return parseContract(sql, strings.ToLower(m[1]), m[2])
	}
	if m := copyInPattern.FindStringSubmatch(sql); m != nil {
		return &statement{kind: kindCopyIn, sql: sql, tag: "COPY", binary: binaryPattern.MatchString(m[1])}, nil
	}
	if copyOutPattern.MatchString(sql) {
		return &statement{kind: kindCopyOut, sql: sql, tag: "COPY"}, nil
	}
	for i := range dataPatterns {
		p := &dataPatterns[i]
		if m := p.expr.FindStringSubmatch(sql); m != nil {
			return p.newStatement(sql, m[1:])
		}
	}
	return nil, sqlErrorf(codeSyntaxError, "statement is not supported: %.100s", sql)
}

func newSessionStatement(p *sessionPattern, sql string, words []string) *statement {
	s := &statement{kind: p.kind, sql: sql, tag: p.tag, words: words}
	if p.kind == kindShow {
		s.columns = []column{{strings.ToLower(words[0]), textOID}}
	}
	return s
}

func (p *dataPattern) newStatement(sql string, groups []string) (*statement, *sqlError) {
	s := &statement{kind: p.kind, sql: sql, tag: p.tag, columns: p.columns}
	for i, oid := range p.operands {
		if err := s.addOperand(groups[2*i], groups[2*i+1], oid); err != nil {
			return nil, err
		}
	}
	if p.kind == kindExpression {
		o := s.operands[0]
		s.columns = []column{{"?column?", o.oid}}
		if o.oid == pgtype.TextOID && strings.Contains(sql, "::") {
			s.columns[0].name = "text"
		}
	}
	return s, nil
}

// addOperand parses one operand. oid is the type that the operand's place in
// the statement requires, 0 for any.
func (s *statement) addOperand(text, cast string, oid uint32) *sqlError {
	if cast != "" {
		castOID, ok := castOIDs[strings.ToLower(cast)]
		if !ok {
			return sqlErrorf(codeUndefinedObject, "type %q is not one of: %s", cast, castNames)
		}
		oid = castOID
	}
	o := operand{oid: oid}
	switch {
	case text[0] == '$':
		n, err := strconv.Atoi(text[1:])
		if err != nil || n < 1 || n > 100 {
			return sqlErrorf(codeSyntaxError, "there is no parameter %s", text)
		}
		o.param = n
		if o.oid == 0 {
			o.oid = pgtype.TextOID
		}
		for len(s.params) < n {
			s.params = append(s.params, 0)
		}
		s.params[n-1] = o.oid
	case text[0] == '\'':
		o.text = strings.ReplaceAll(text[1:len(text)-1], "''", "'")
		if o.oid == 0 {
			o.oid = pgtype.TextOID
		}
	case strings.EqualFold(text, "null"):
		o.null = true
	default:
		o.text = text
		if o.oid == 0 {
			o.oid = pgtype.Int4OID
		}
	}
	s.operands = append(s.operands, o)
	return nil
}

var statusColumns = []column{
	{"server", textOID},
	{"term", pgtype.Int8OID},
	{"role", textOID},
	{"position", pgtype.Int8OID},
	{"held", pgtype.Int8OID},
	{"connections", pgtype.Int4OID},
}

var contractOperands = map[string][]uint32{
	"status":  nil,
	"fence":   {pgtype.Int8OID},
	"promote": {pgtype.Int8OID},
	"follow":  {pgtype.Int8OID, pgtype.TextOID},
	"evict":   {pgtype.Int8OID},
}

func parseContract(sql, name, arguments string) (*statement, *sqlError) {
	types, ok := contractOperands[name]
	if !ok {
		return nil, sqlErrorf("42883", "function cranberryhinge.%s does not exist", name)
	}
	s := &statement{kind: kindContract, sql: sql, tag: "SELECT", words: []string{name}}
	switch name {
	case "status":
		s.columns = statusColumns
	case "fence":
		s.columns = append(statusColumns[:len(statusColumns):len(statusColumns)], column{"received", pgtype.Int8OID})
	case "evict":
		s.columns = []column{{name, pgtype.Int4OID}}
	default:
		s.columns = []column{{name, voidOID}}
	}
	var parts []string
	if strings.TrimSpace(arguments) != "" {
		parts = strings.Split(arguments, ",")
	}
	if len(parts) != len(types) {
		return nil, sqlErrorf("42883", "cranberryhinge.%s takes %d arguments", name, len(types))
	}
	for i, part := range parts {
		m := operandExpr.FindStringSubmatch(part)
		if m == nil {
			return nil, sqlErrorf(codeSyntaxError, "invalid argument %d of cranberryhinge.%s", i+1, name)
		}
		if err := s.addOperand(m[1], m[2], types[i]); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// readOnlyMode parses the access mode of BEGIN and SET TRANSACTION; ok is false
// if there is none.
func readOnlyMode(modes string) (readOnly, ok bool) {
	words := strings.Fields(strings.ToUpper(strings.ReplaceAll(modes, ",", " ")))
	for i := 0; i+1 < len(words); i++ {
		if words[i] != "READ" {
			continue
		}
		switch words[i+1] {
		case "ONLY":
			readOnly, ok = true, true
		case "WRITE":
			readOnly, ok = false, true
		}
	}
	return readOnly, ok
}

// unquote returns the value of a SET statement without its quotes.
func unquote(text string) string {
	text = strings.TrimSpace(text)
	if len(text) >= 2 && text[0] == '\'' && text[len(text)-1] == '\'' {
		return strings.ReplaceAll(text[1:len(text)-1], "''", "'")
	}
	if len(text) >= 2 && text[0] == '"' && text[len(text)-1] == '"' {
		return text[1 : len(text)-1]
	}
	return text
}

func isOn(text string) bool {
	switch strings.ToLower(text) {
	case "on", "true", "yes", "1":
		return true
	}
	return false
}
