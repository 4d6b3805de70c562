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

// copyIn receives rows and writes them as one statement.
func (s *session) copyIn(st *statement, single bool) *sqlError {
	if s.tx != nil && s.tx.failed {
		return failf(codeFailedTransaction, "current transaction is aborted")
	}
	ctx, release, err := s.acquire()
	if err != nil {
		return err
	}
	defer release()
	s.db.lock()
	_, err = s.begin(true)
	s.db.mu.Unlock()
	if err != nil {
		return err
	}
	data, err := s.receiveCopy(st)
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
		return causeOf(ctx)
	}
	tx, err := s.begin(true)
	if err != nil {
		return err
	}
	insert := &statement{kind: kindInsert, tag: "INSERT"}
	for _, row := range rows {
		if _, err := s.db.performWrite(tx, insert, row); err != nil {
			return err
		}
	}
	if single && !tx.explicit {
		s.tx = nil
		if err := s.db.finish(s, tx); err != nil {
			return err
		}
	}
	s.be.Send(&pgproto3.CommandComplete{CommandTag: fmt.Appendf(nil, "COPY %d", len(rows))})
	return nil
}

func (s *session) receiveCopy(st *statement) ([]byte, *sqlError) {
	response := &pgproto3.CopyInResponse{ColumnFormatCodes: make([]uint16, copyColumns)}
	if st.binary {
		response.OverallFormat = pgproto3.BinaryFormat
		response.ColumnFormatCodes = []uint16{pgproto3.BinaryFormat, pgproto3.BinaryFormat}
	}
	s.be.Send(response)
	s.flush()
	var data []byte
	for {
		m, err := s.receive()
		if err != nil {
			return nil, failf("08006", "connection lost during COPY")
		}
		switch m := m.(type) {
		case *pgproto3.CopyData:
			data = append(data, m.Data...)
		case *pgproto3.CopyDone:
			return data, nil
		case *pgproto3.CopyFail:
			return nil, failf(codeCanceled, "COPY from stdin failed: %s", m.Message)
		case *pgproto3.Sync, *pgproto3.Flush:
			// PostgreSQL ignores both while rows arrive.
		default:
			return nil, failf(codeProtocolViolation, "unexpected message %T during COPY from stdin", m)
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
			return nil, failf("22P04", "row has %d columns", len(fields))
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
	bad := failf("22P04", "malformed binary COPY data")
	const headerBytes = 11 + 4 + 4
	if len(data) < headerBytes || !bytes.HasPrefix(data, copySignature) {
		return nil, bad
	}
	data = data[headerBytes:]
	var rows [][]value
	// As in PostgreSQL, the trailer may be missing.
	for len(data) > 0 {
		if len(data) < 2 {
			return nil, bad
		}
		n := int16(binary.BigEndian.Uint16(data))
		data = data[2:]
		if n == -1 {
			return rows, nil
		}
		if n != copyColumns {
			return nil, bad
		}
		row := make([]value, copyColumns)
		for i := range row {
			if len(data) < 4 {
				return nil, bad
			}
			size := int32(binary.BigEndian.Uint32(data))
			data = data[4:]
			if size < 0 {
				row[i].null = true
				continue
			}
			if int(size) > len(data) {
				return nil, bad
			}
			row[i].text = string(data[:size])
			data = data[size:]
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// copyOut sends every row of kv in the text format.
func (s *session) copyOut(single bool) *sqlError {
	scan := &statement{kind: kindScan, tag: "COPY", columns: keyValue}
	r, err := s.execute(scan, nil, single)
	if err != nil {
		return err
	}
	defer r.finish()
	s.be.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: make([]uint16, copyColumns)})
	for _, row := range r.rows {
		line := copyEscape.Replace(row[0].text) + "\t" + copyEscape.Replace(row[1].text) + "\n"
		s.be.Send(&pgproto3.CopyData{Data: []byte(line)})
		if s.unflushed += len(line); s.unflushed >= flushBytes {
			s.flush()
		}
	}
	s.be.Send(&pgproto3.CopyDone{})
	s.be.Send(&pgproto3.CommandComplete{CommandTag: fmt.Appendf(nil, "COPY %d", len(r.rows))})
	return nil
}
