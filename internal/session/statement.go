package session

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"unique"

	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
)

// hashBytes is the part of the SHA-256 digest that a backend name carries.
const hashBytes = 16

// missingPrefix marks backend names of statements that the client has not
// prepared. No statement is ever prepared under such a name, so the backend
// server itself reports the error and aborts an open transaction.
const missingPrefix = "missing:"

// Statement is a prepared statement of the client.
type Statement struct {
	// text is interned, because the sessions of one application prepare the
	// same texts.
	text unique.Handle[string]
	oids []uint32
	// backend is the name on backend connections. It is a cryptographic hash,
	// because sessions of different customers share these names.
	backend string
	local   *localStatement
}

func newStatement(text string, oids []uint32) *Statement {
	h := sha256.New()
	var word [4]byte
	binary.BigEndian.PutUint32(word[:], uint32(len(oids)))
	h.Write(word[:])
	for _, oid := range oids {
		binary.BigEndian.PutUint32(word[:], oid)
		h.Write(word[:])
	}
	h.Write([]byte(text))
	return &Statement{
		text:    unique.Make(text),
		oids:    oids,
		backend: "s" + hex.EncodeToString(h.Sum(nil)[:hashBytes]),
	}
}

func (s *Statement) proto() *peerpb.Prepared {
	return &peerpb.Prepared{Name: s.backend, Query: s.text.Value(), ParameterOids: s.oids}
}
