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

// fakeHome is an Opener whose streams are served by a minimal fake backend server.
type fakeHome struct {
	mu             sync.Mutex
	starts         []*peerpb.Start
	position       uint64
	copyInData     []byte
	abortedStreams atomic.Int64
	preparedCount  atomic.Int64
	// ignoreCancel makes streams ignore cancel requests; blockOpen makes Open block
	// until its context ends.
	ignoreCancel bool
	blockOpen    bool
	blockedOpens atomic.Int64
	// sleepStarted is signalled when a sleep statement starts.
	sleepStarted chan struct{}
}

func newFakeHome() *fakeHome { return &fakeHome{sleepStarted: make(chan struct{}, 64)} }

func (h *fakeHome) Open(ctx context.Context, start *peerpb.Start) (peer.RunStream, error) {
	if h.blockOpen {
		h.blockedOpens.Add(1)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starts = append(h.starts, start)
	entryEnd, homeEnd := peer.Pipe(ctx)
	r, w := io.Pipe()
	s := &fakeStream{home: h, start: start, homeEnd: homeEnd, status: 'I', cancel: make(chan struct{}, 1)}
	s.storePrepared(start)
	s.backend = pgproto3.NewBackend(r, s)
	go s.receiveRequests(w)
	go s.run()
	return entryEnd, nil
}

func (s *fakeStream) storePrepared(start *peerpb.Start) {
	for _, p := range start.Prepared {
		s.statements.Store(p.Name, p.Query)
		s.home.preparedCount.Add(1)
	}
}

func (h *fakeHome) lastStart() *peerpb.Start {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.starts[len(h.starts)-1]
}

// fakeStream serves one Run stream, that is one transaction.
type fakeStream struct {
	home          *fakeHome
	start         *peerpb.Start
	homeEnd       *peer.PipeServer
	backend       *pgproto3.Backend
	status        byte
	hasWrites     bool
	skipUntilSync bool
	statements    sync.Map
	portal        string
	params        [][]byte
	cancel        chan struct{}
}

func (s *fakeStream) receiveRequests(w *io.PipeWriter) {
	for {
		m, err := s.homeEnd.Recv()
		if err != nil {
			_ = w.CloseWithError(err)
			return
		}
		switch k := m.Kind.(type) {
		case *peerpb.RunRequest_Start:
			s.storePrepared(k.Start)
		case *peerpb.RunRequest_Frontend:
			_, _ = w.Write(k.Frontend)
		case *peerpb.RunRequest_Cancel:
			if !s.home.ignoreCancel {
				s.cancel <- struct{}{}
			}
		}
	}
}

// Write sends backend bytes in two chunks that are split within a message.
func (s *fakeStream) Write(b []byte) (int, error) {
	for _, part := range [][]byte{b[:len(b)/2], b[len(b)/2:]} {
		if err := s.homeEnd.Send(&peerpb.RunResponse{Kind: &peerpb.RunResponse_Backend{Backend: bytes.Clone(part)}}); err != nil {
			return 0, err
		}
	}
	return len(b), nil
}

func (s *fakeStream) run() {
	_ = s.homeEnd.Send(&peerpb.RunResponse{Kind: &peerpb.RunResponse_Accepted{Accepted: &peerpb.Accepted{}}})
	for {
		m, err := s.backend.Receive()
		if err != nil {
			s.home.abortedStreams.Add(1)
			return
		}
		if !s.handleMessage(m) {
			s.homeEnd.Finish()
			return
		}
	}
}

// handleMessage handles a frontend message. It reports whether the stream continues.
func (s *fakeStream) handleMessage(m pgproto3.FrontendMessage) bool {
	if _, ok := m.(*pgproto3.Sync); !ok && s.skipUntilSync {
		return true
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		more := s.execute(m.String, nil, true)
		s.skipUntilSync = false
		return more && s.finishBatch()
	case *pgproto3.Parse:
		if m.Query == "syntax" {
			return s.failStatement("42601")
		}
		s.statements.Store(m.Name, m.Query)
		s.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		text, ok := s.statements.Load(m.PreparedStatement)
		if !ok {
			return s.failStatement("26000")
		}
		s.portal, s.params = text.(string), nil
		for _, p := range m.Parameters {
			s.params = append(s.params, bytes.Clone(p))
		}
		s.backend.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		if m.ObjectType == 'P' {
			s.sendRowDescription(s.portal)
			return true
		}
		text, ok := s.statements.Load(m.Name)
		if !ok {
			return s.failStatement("26000")
		}
		oids := slices.Repeat([]uint32{textOID}, strings.Count(text.(string), "$"))
		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
		s.sendRowDescription(text.(string))
	case *pgproto3.Execute:
		return s.execute(s.portal, s.params, false)
	case *pgproto3.Close:
		s.backend.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Flush:
		_ = s.backend.Flush()
	case *pgproto3.Sync:
		s.skipUntilSync = false
		return s.finishBatch()
	}
	return true
}

const textOID = 25

func (s *fakeStream) sendRowDescription(text string) {
	if !strings.HasPrefix(text, "select") {
		s.backend.Send(&pgproto3.NoData{})
		return
	}
	s.backend.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("a"), DataTypeOID: textOID, DataTypeSize: -1}}})
}

// failStatement sends an error of a statement. It returns true, because the stream
// continues.
func (s *fakeStream) failStatement(code string) bool {
	s.skipUntilSync, s.hasWrites = true, false
	if s.status == 'T' {
		s.status = 'E'
	}
	s.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: "statement failed"})
	return true
}

// failStream sends a Failure. It returns false, because the stream ends.
func (s *fakeStream) failStream(v verdict.Verdict, r verdict.Reason) bool {
	_ = s.homeEnd.Send(&peerpb.RunResponse{Kind: &peerpb.RunResponse_Failure{Failure: &peerpb.Failure{
		Verdict: uint32(v), Reason: string(r), Message: "fake failure",
	}}})
	return false
}

func (s *fakeStream) execute(text string, params [][]byte, simple bool) bool {
	command, rest, _ := strings.Cut(strings.TrimSuffix(text, ";"), " ")
	if s.status == 'E' && command != "rollback" && command != "commit" {
		return s.failStatement("25P02")
	}
	tag := strings.ToUpper(command)
	switch command {
	case "begin":
		s.status = 'T'
	case "commit", "rollback":
		s.hasWrites = s.hasWrites && s.status == 'T' && command == "commit"
		s.status = 'I'
	case "select":
		if simple {
			s.sendRowDescription(text)
		}
		value := []byte(rest)
		if len(params) > 0 {
			value = params[0]
		}
		s.backend.Send(&pgproto3.DataRow{Values: [][]byte{value}})
		tag = "SELECT 1"
	case "insert":
		s.hasWrites, tag = true, "INSERT 0 1"
	case "error":
		return s.failStatement("22012")
	case "sleep":
		select {
		case s.home.sleepStarted <- struct{}{}:
		default:
		}
		select {
		case <-s.cancel:
			return s.failStatement("57014")
		case <-s.homeEnd.Context().Done():
			return true
		}
	case "notrun":
		return s.failStream(verdict.NotRun, verdict.QueueFull)
	case "mayhaverun":
		return s.failStream(verdict.MayHaveRun, verdict.ConnectionLost)
	case "copy":
		return s.runCopy(rest)
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return true
}

func (s *fakeStream) runCopy(rest string) bool {
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
		return s.failStatement("22P04")
	}
	for {
		m, err := s.backend.Receive()
		if err != nil {
			return true
		}
		switch m := m.(type) {
		case *pgproto3.CopyData:
			s.home.mu.Lock()
			s.home.copyInData = append(s.home.copyInData, m.Data...)
			s.home.mu.Unlock()
		case *pgproto3.CopyFail:
			return s.failStatement("57014")
		case *pgproto3.CopyDone:
			s.hasWrites = true
			s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("COPY 1")})
			return true
		}
	}
}

// finishBatch ends a batch. It reports whether the stream continues.
func (s *fakeStream) finishBatch() bool {
	_ = s.backend.Flush()
	r := &peerpb.Ready{Status: uint32(s.status)}
	if s.status == 'I' && s.hasWrites {
		s.home.mu.Lock()
		s.home.position++
		r.Token = session.Token{Group: s.start.Group, Term: 1, Position: s.home.position}.Proto()
		s.home.mu.Unlock()
		s.hasWrites = false
	}
	_ = s.homeEnd.Send(&peerpb.RunResponse{Kind: &peerpb.RunResponse_Ready{Ready: r}})
	return s.status != 'I'
}
