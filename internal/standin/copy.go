package standin

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// copyColumns is the number of columns of kv.
const copyColumns = 2

var copySignature = []byte("PGCOPY\n\xff\r\n\x00")

// copyIn receives the rows of COPY FROM STDIN and inserts them as one
// statement.
func (s *session) copyIn(st *statement, autocommit bool) *sqlError {
	if s.tx != nil && s.tx.failed {
		return sqlErrorf(codeInFailedTransaction, "current transaction is aborted")
	}
	ctx, release, err := s.acquireSlot()
	if err != nil {
		return err
	}
	defer release()
	s.db.lock()
	_, err = s.ensureTransaction(true)
	s.db.mu.Unlock()
	if err != nil {
		return err
	}
	data, err := s.receiveCopyData(st)
	if err != nil {
		return err
	}
	rows, err := parseCopy(data, st.binary)
	if err != nil {
		return err
	}
	s.db.lock()
	defer s.db.mu.Unlock()
	if ctx.Err() != nil {
		return cancelCause(ctx)
	}
	tx, err := s.ensureTransaction(true)
	if err != nil {
		return err
	}
	insert := &statement{kind: kindInsert, tag: "INSERT"}
	for _, row := range rows {
		if _, err := s.db.executeWrite(tx, insert, row); err != nil {
			return err
		}
	}
	if autocommit && !tx.explicit {
		s.tx = nil
		if err := s.db.commitTransaction(s, tx); err != nil {
			return err
		}
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: fmt.Appendf(nil, "COPY %d", len(rows))})
	return nil
}

func (s *session) receiveCopyData(st *statement) ([]byte, *sqlError) {
	response := &pgproto3.CopyInResponse{ColumnFormatCodes: make([]uint16, copyColumns)}
	if st.binary {
		response.OverallFormat = pgproto3.BinaryFormat
		response.ColumnFormatCodes = []uint16{pgproto3.BinaryFormat, pgproto3.BinaryFormat}
	}
	s.backend.Send(response)
	s.flush()
	var data []byte
	for {
		m, err := s.receive()
		if err != nil {
			return nil, sqlErrorf("08006", "connection lost during COPY")
		}
		switch m := m.(type) {
		case *pgproto3.CopyData:
			data = append(data, m.Data...)
		case *pgproto3.CopyDone:
			return data, nil
		case *pgproto3.CopyFail:
			return nil, sqlErrorf(codeQueryCanceled, "COPY from stdin failed: %s", m.Message)
		case *pgproto3.Sync, *pgproto3.Flush:
			// PostgreSQL ignores both while rows arrive.
		default:
			return nil, sqlErrorf(codeProtocolViolation, "unexpected message %T during COPY from stdin", m)
		}
	}
}

func parseCopy(data []byte, isBinary bool) ([][]value, *sqlError) {
	if isBinary {
		return parseBinaryCopy(data)
	}
	var rows [][]value
	for line := range strings.SplitSeq(string(data), "\n") {
		line = strings.TrimSuffix(line, "\r")
		if line == "" || line == `\.` {
			continue
		}
		fields := strings.Split(line, "\t")
		if len(fields) != copyColumns {
			return nil, sqlErrorf("22P04", "row of COPY data has %d columns instead of 2", len(fields))
		}
		row := make([]value, copyColumns)
		for i, field := range fields {
			row[i] = value{text: copyUnescape.Replace(field), null: field == `\N`}
		}
		rows = append(rows, row)
	}
	return rows, nil
}

var (
	copyEscape   = strings.NewReplacer(`\`, `\\`, "\t", `\t`, "\n", `\n`, "\r", `\r`)
	copyUnescape = strings.NewReplacer(`\\`, `\`, `\t`, "\t", `\n`, "\n", `\r`, "\r")
)

func parseBinaryCopy(data []byte) ([][]value, *sqlError) {
	malformed := sqlErrorf("22P04", "malformed binary COPY data")
	const headerBytes = 11 + 4 + 4
	if len(data) < headerBytes || !bytes.HasPrefix(data, copySignature) {
		return nil, malformed
	}
	data = data[headerBytes:]
	var rows [][]value
	// As in PostgreSQL, the trailer may be missing.
	for len(data) > 0 {
		if len(data) < 2 {
			return nil, malformed
		}
		columnCount := int16(binary.BigEndian.Uint16(data))
		data = data[2:]
		if columnCount == -1 {
			return rows, nil
		}
		if columnCount != copyColumns {
			return nil, malformed
		}
		row := make([]value, copyColumns)
		for i := range row {
			if len(data) < 4 {
				return nil, malformed
			}
			size := int32(binary.BigEndian.Uint32(data))
			data = data[4:]
			if size < 0 {
				row[i].null = true
				continue
			}
			if int(size) > len(data) {
				return nil, malformed
			}
			row[i].text = string(data[:size])
			data = data[size:]
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// copyOut sends every row of kv in the text format of COPY.
func (s *session) copyOut(autocommit bool) *sqlError {
	scan := &statement{kind: kindScan, tag: "COPY", columns: keyValueColumns}
	r, err := s.execute(scan, nil, autocommit)
	if err != nil {
		return err
	}
	defer r.release()
	s.backend.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: make([]uint16, copyColumns)})
	for _, row := range r.rows {
		line := copyEscape.Replace(row[0].text) + "\t" + copyEscape.Replace(row[1].text) + "\n"
		s.backend.Send(&pgproto3.CopyData{Data: []byte(line)})
		if s.unflushedBytes += len(line); s.unflushedBytes >= flushBytes {
			s.flush()
		}
	}
	s.backend.Send(&pgproto3.CopyDone{})
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: fmt.Appendf(nil, "COPY %d", len(r.rows))})
	return nil
}
