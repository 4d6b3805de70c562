package standin

import (
	"encoding/binary"
	"math"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

// value is a datum in its text form.
type value struct {
	text string
	null bool
}

func textValue(s string) value { return value{text: s} }

func intValue(n int) value { return value{text: strconv.Itoa(n)} }

type column struct {
	name string
	oid  uint32
}

// voidOID is the type OID of functions that return nothing.
const voidOID = 2278

func (c column) fieldDescription(format int16) pgproto3.FieldDescription {
	size := int16(-1)
	switch c.oid {
	case pgtype.Int4OID:
		size = 4
	case pgtype.Int8OID, pgtype.Float8OID:
		size = 8
	case pgtype.BoolOID:
		size = 1
	}
	return pgproto3.FieldDescription{
		Name: []byte(c.name), DataTypeOID: c.oid, DataTypeSize: size, TypeModifier: -1, Format: format,
	}
}

// encode returns the wire format of a value, nil for NULL.
func (c column) encode(v value, format int16) ([]byte, *sqlError) {
	if v.null {
		return nil, nil
	}
	if format == pgproto3.TextFormat {
		return []byte(v.text), nil
	}
	switch c.oid {
	case pgtype.Int4OID, pgtype.Int8OID:
		n, err := strconv.ParseInt(v.text, 10, 64)
		if err != nil {
			return nil, sqlErrorf(codeInvalidTextRepresentation, "invalid integer: %q", v.text)
		}
		if c.oid == pgtype.Int4OID {
			return binary.BigEndian.AppendUint32(nil, uint32(n)), nil
		}
		return binary.BigEndian.AppendUint64(nil, uint64(n)), nil
	case pgtype.Float8OID:
		f, err := strconv.ParseFloat(v.text, 64)
		if err != nil {
			return nil, sqlErrorf(codeInvalidTextRepresentation, "invalid number: %q", v.text)
		}
		return binary.BigEndian.AppendUint64(nil, math.Float64bits(f)), nil
	case pgtype.BoolOID:
		if v.text == "t" {
			return []byte{1}, nil
		}
		return []byte{0}, nil
	}
	return []byte(v.text), nil
}

// decodeParam decodes a parameter of type oid from its wire format.
func decodeParam(oid uint32, format int16, raw []byte) (value, *sqlError) {
	if raw == nil {
		return value{null: true}, nil
	}
	if format == pgproto3.TextFormat {
		return value{text: string(raw)}, nil
	}
	switch {
	case oid == pgtype.Int2OID && len(raw) == 2:
		return intValue(int(int16(binary.BigEndian.Uint16(raw)))), nil
	case oid == pgtype.Int4OID && len(raw) == 4:
		return intValue(int(int32(binary.BigEndian.Uint32(raw)))), nil
	case oid == pgtype.Int8OID && len(raw) == 8:
		return intValue(int(int64(binary.BigEndian.Uint64(raw)))), nil
	case oid == pgtype.Float8OID && len(raw) == 8:
		f := math.Float64frombits(binary.BigEndian.Uint64(raw))
		return textValue(strconv.FormatFloat(f, 'g', -1, 64)), nil
	case oid == pgtype.BoolOID && len(raw) == 1:
		if raw[0] != 0 {
			return textValue("t"), nil
		}
		return textValue("f"), nil
	case oid == pgtype.TextOID, oid == pgtype.VarcharOID, oid == pgtype.UnknownOID, oid == pgtype.ByteaOID:
		return textValue(string(raw)), nil
	}
	return value{}, sqlErrorf("22P03", "binary parameter of type %d has %d bytes", oid, len(raw))
}
