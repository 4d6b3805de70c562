package session

import (
	"crypto/sha256"
	"encoding/binary"
	"unique"

	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
)

// missingPrefix is the prefix of backend names for statements that the client has
// not prepared. No statement is ever prepared under such a name, so the backend
// server reports the error and aborts an open transaction.
const missingPrefix = "missing:"

// Statement is a prepared statement of the client.
type Statement struct {
	// text is interned, because the sessions of one application prepare the
	// same texts.
	text unique.Handle[string]
	oids []uint32
	// backendName is the statement's name on backend connections.
	backendName string
	local       *localStatement
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
		text:        unique.Make(text),
		oids:        oids,
		backendName: statement.BackendName("s", statement.Digest(h.Sum(nil))),
	}
}

func (s *Statement) proto() *peerpb.Prepared {
	return &peerpb.Prepared{Name: s.backendName, Query: s.text.Value(), ParameterOids: s.oids}
}
