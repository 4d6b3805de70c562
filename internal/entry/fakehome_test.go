package entry

import (
	"bytes"
	"context"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cranberryhinge/cranberryhinge/internal/peer"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/session"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// fakeHome is an Opener whose streams end at a small imitation of a database.
type fakeHome struct {
	mu        sync.Mutex
	starts    []*peerpb.Start
	position  uint64
	copied    []byte
	aborted   atomic.Int64
	announced atomic.Int64
	// deaf streams ignore cancel requests, and blocked ones never open.
	deaf    bool
	block   bool
	waiting atomic.Int64
	// running is signalled when a sleep statement has begun.
	running chan struct{}
}

func newFakeHome() *fakeHome { return &fakeHome{running: make(chan struct{}, 64)} }

func (h *fakeHome) Open(ctx context.Context, start *peerpb.Start) (peer.RunStream, error) {
	if h.block {
		h.waiting.Add(1)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starts = append(h.starts, start)
	near, far := peer.Pipe(ctx)
	r, w := io.Pipe()
	s := &fakeStream{home: h, start: start, far: far, status: 'I', cancel: make(chan struct{}, 1)}
	s.announce(start)
	s.backend = pgproto3.NewBackend(r, s)
	go s.feed(w)
	go s.run()
	return near, nil
}

func (s *fakeStream) announce(start *peerpb.Start) {
	for _, p := range start.Prepared {
		s.statements.Store(p.Name, p.Query)
		s.home.announced.Add(1)
	}
}

func (h *fakeHome) last() *peerpb.Start {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.starts[len(h.starts)-1]
}

// fakeStream runs one transaction.
type fakeStream struct {
	home       *fakeHome
	start      *peerpb.Start
	far        *peer.PipeServer
	backend    *pgproto3.Backend
	status     byte
	committed  bool
	skipping   bool
	statements sync.Map
	portal     string
	params     [][]byte
	cancel     chan struct{}
}

func (s *fakeStream) feed(w *io.PipeWriter) {
	for {
		m, err := s.far.Recv()
		if err != nil {
			_ = w.CloseWithError(err)
			return
		}
		switch k := m.Kind.(type) {
		case *peerpb.RunRequest_Start:
			s.announce(k.Start)
		case *peerpb.RunRequest_Frontend:
			_, _ = w.Write(k.Frontend)
		case *peerpb.RunRequest_Cancel:
			if !s.home.deaf {
				s.cancel <- struct{}{}
			}
		}
	}
}

// Write sends backend bytes in two chunks, cut within a message.
func (s *fakeStream) Write(b []byte) (int, error) {
	for _, part := range [][]byte{b[:len(b)/2], b[len(b)/2:]} {
		if err := s.far.Send(&peerpb.RunResponse{Kind: &peerpb.RunResponse_Backend{Backend: bytes.Clone(part)}}); err != nil {
			return 0, err
		}
	}
	return len(b), nil
}

func (s *fakeStream) run() {
	_ = s.far.Send(&peerpb.RunResponse{Kind: &peerpb.RunResponse_Accepted{Accepted: &peerpb.Accepted{}}})
	for {
		m, err := s.backend.Receive()
		if err != nil {
			s.home.aborted.Add(1)
			return
		}
		if !s.message(m) {
			s.far.Finish()
			return
		}
	}
}

// message handles a frontend message and reports whether the stream goes on.
func (s *fakeStream) message(m pgproto3.FrontendMessage) bool {
	if _, ok := m.(*pgproto3.Sync); !ok && s.skipping {
		return true
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		more := s.execute(m.String, nil, true)
		s.skipping = false
		return more && s.ready()
	case *pgproto3.Parse:
		if m.Query == "syntax" {
			return s.fail("42601")
		}
		s.statements.Store(m.Name, m.Query)
		s.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		text, ok := s.statements.Load(m.PreparedStatement)
		if !ok {
			return s.fail("26000")
		}
		s.portal, s.params = text.(string), nil
		for _, p := range m.Parameters {
			s.params = append(s.params, bytes.Clone(p))
		}
		s.backend.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		if m.ObjectType == 'P' {
			s.describe(s.portal)
			return true
		}
		text, ok := s.statements.Load(m.Name)
		if !ok {
			return s.fail("26000")
		}
		oids := slices.Repeat([]uint32{textOID}, strings.Count(text.(string), "$"))
		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
		s.describe(text.(string))
	case *pgproto3.Execute:
		return s.execute(s.portal, s.params, false)
	case *pgproto3.Close:
		s.backend.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Flush:
		_ = s.backend.Flush()
	case *pgproto3.Sync:
		s.skipping = false
		return s.ready()
	}
	return true
}

const textOID = 25

func (s *fakeStream) describe(text string) {
	if !strings.HasPrefix(text, "select") {
		s.backend.Send(&pgproto3.NoData{})
		return
	}
	s.backend.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("a"), DataTypeOID: textOID, DataTypeSize: -1}}})
}

// fail reports an error of a statement; the stream goes on.
func (s *fakeStream) fail(code string) bool {
	s.skipping, s.committed = true, false
	if s.status == 'T' {
		s.status = 'E'
	}
	s.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: "statement failed"})
	return true
}

func (s *fakeStream) failure(v verdict.Verdict, r verdict.Reason) bool {
	_ = s.far.Send(&peerpb.RunResponse{Kind: &peerpb.RunResponse_Failure{Failure: &peerpb.Failure{
		Verdict: uint32(v), Reason: string(r), Message: "fake failure",
	}}})
	return false
}

func (s *fakeStream) execute(text string, params [][]byte, simple bool) bool {
	word, rest, _ := strings.Cut(strings.TrimSuffix(text, ";"), " ")
	if s.status == 'E' && word != "rollback" && word != "commit" {
		return s.fail("25P02")
	}
	tag := strings.ToUpper(word)
	switch word {
	case "begin":
		s.status = 'T'
	case "commit", "rollback":
		s.committed = s.committed && s.status == 'T' && word == "commit"
		s.status = 'I'
	case "select":
		if simple {
			s.describe(text)
		}
		value := []byte(rest)
		if len(params) > 0 {
			value = params[0]
		}
		s.backend.Send(&pgproto3.DataRow{Values: [][]byte{value}})
		tag = "SELECT 1"
	case "insert":
		s.committed, tag = true, "INSERT 0 1"
	case "error":
		return s.fail("22012")
	case "sleep":
		select {
		case s.home.running <- struct{}{}:
		default:
		}
		select {
		case <-s.cancel:
			return s.fail("57014")
		case <-s.far.Context().Done():
			return true
		}
	case "notrun":
		return s.failure(verdict.NotRun, verdict.QueueFull)
	case "mayhaverun":
		return s.failure(verdict.MayHaveRun, verdict.ConnectionLost)
	case "copy":
		return s.copy(rest)
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return true
}

func (s *fakeStream) copy(rest string) bool {
	if strings.Contains(rest, "to stdout") {
		s.backend.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: []uint16{0}})
		for range 1000 {
			s.backend.Send(&pgproto3.CopyData{Data: []byte("row of the table\n")})
		}
		for strings.Contains(rest, "endless") {
			s.backend.Send(&pgproto3.CopyData{Data: make([]byte, 1<<16)})
			if s.backend.Flush() != nil {
				return true
			}
		}
		s.backend.Send(&pgproto3.CopyDone{})
		s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("COPY 1000")})
		return true
	}
	s.backend.Send(&pgproto3.CopyInResponse{ColumnFormatCodes: []uint16{0}})
	_ = s.backend.Flush()
	if strings.Contains(rest, "failing") {
		return s.fail("22P04")
	}
	for {
		m, err := s.backend.Receive()
		if err != nil {
			return true
		}
		switch m := m.(type) {
		case *pgproto3.CopyData:
			s.home.mu.Lock()
			s.home.copied = append(s.home.copied, m.Data...)
			s.home.mu.Unlock()
		case *pgproto3.CopyFail:
			return s.fail("57014")
		case *pgproto3.CopyDone:
			s.committed = true
			s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("COPY 1")})
			return true
		}
	}
}

// ready ends a batch and reports whether the stream goes on.
func (s *fakeStream) ready() bool {
	_ = s.backend.Flush()
	r := &peerpb.Ready{Status: uint32(s.status)}
	if s.status == 'I' && s.committed {
		s.home.mu.Lock()
		s.home.position++
		r.Token = session.Token{Group: s.start.Group, Term: 1, Position: s.home.position}.Proto()
		s.home.mu.Unlock()
		s.committed = false
	}
	_ = s.far.Send(&peerpb.RunResponse{Kind: &peerpb.RunResponse_Ready{Ready: r}})
	return s.status != 'I'
}
