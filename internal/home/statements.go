package home

import (
	"container/list"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
)

// maxStatements bounds the prepared statements of one backend connection
// (design, section 10).
const maxStatements = 256

// statements records which prepared statements a backend connection holds, the
// most recently used first.
type statements struct {
	order *list.List
	byKey map[string]*list.Element
}

func newStatements() *statements {
	return &statements{order: list.New(), byKey: make(map[string]*list.Element)}
}

// prepare returns the messages that make the connection hold the statements,
// the statements that they parse, and the number of those that they close.
func (s *statements) prepare(wanted []*peerpb.Prepared) (out []byte, parsing []*peerpb.Prepared, closing int) {
	for _, w := range wanted {
		if e, ok := s.byKey[w.Name]; ok {
			s.order.MoveToFront(e)
			continue
		}
		if s.order.Len() >= maxStatements {
			oldest := s.order.Back()
			name := s.order.Remove(oldest).(string)
			delete(s.byKey, name)
			out = encode(out, &pgproto3.Close{ObjectType: 'S', Name: name})
			closing++
		}
		s.byKey[w.Name] = s.order.PushFront(w.Name)
		out = encode(out, &pgproto3.Parse{Name: w.Name, Query: w.Query, ParameterOIDs: w.ParameterOids})
		parsing = append(parsing, w)
	}
	return out, parsing, closing
}

// forget removes statements whose Parse was not confirmed.
func (s *statements) forget(wanted []*peerpb.Prepared) {
	for _, w := range wanted {
		if e, ok := s.byKey[w.Name]; ok {
			s.order.Remove(e)
			delete(s.byKey, w.Name)
		}
	}
}

// encode appends a message whose encoding cannot fail: pgproto3 only rejects
// messages above 1 GiB.
func encode(buf []byte, m pgproto3.FrontendMessage) []byte {
	out, err := m.Encode(buf)
	if err != nil {
		return buf
	}
	return out
}
