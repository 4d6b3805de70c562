package home

import (
	"container/list"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
)

// maxPreparedStatements limits the prepared statements of one backend
// connection (design, section 10).
const maxPreparedStatements = 256

// statementCache tracks the prepared statements of a backend connection. At
// maxPreparedStatements it evicts the least recently used one.
type statementCache struct {
	lru    *list.List
	byName map[string]*list.Element
}

func newStatementCache() *statementCache {
	return &statementCache{lru: list.New(), byName: make(map[string]*list.Element)}
}

// prepare returns the messages that prepare the required statements which the
// connection lacks, the statements that these messages parse, and the number of
// statements that they close.
func (s *statementCache) prepare(required []*peerpb.Prepared) (out []byte, parsing []*peerpb.Prepared, closing int) {
	for _, stmt := range required {
		if e, ok := s.byName[stmt.Name]; ok {
			s.lru.MoveToFront(e)
			continue
		}
		if s.lru.Len() >= maxPreparedStatements {
			oldest := s.lru.Back()
			name := s.lru.Remove(oldest).(string)
			delete(s.byName, name)
			out = encode(out, &pgproto3.Close{ObjectType: 'S', Name: name})
			closing++
		}
		s.byName[stmt.Name] = s.lru.PushFront(stmt.Name)
		out = encode(out, &pgproto3.Parse{Name: stmt.Name, Query: stmt.Query, ParameterOIDs: stmt.ParameterOids})
		parsing = append(parsing, stmt)
	}
	return out, parsing, closing
}

// remove deletes the statements whose Parse was not confirmed.
func (s *statementCache) remove(unconfirmed []*peerpb.Prepared) {
	for _, stmt := range unconfirmed {
		if e, ok := s.byName[stmt.Name]; ok {
			s.lru.Remove(e)
			delete(s.byName, stmt.Name)
		}
	}
}

// encode appends the encoding of a message to buf. Encoding cannot fail:
// pgproto3 rejects only messages larger than 1 GiB.
func encode(buf []byte, m pgproto3.FrontendMessage) []byte {
	out, err := m.Encode(buf)
	if err != nil {
		return buf
	}
	return out
}
