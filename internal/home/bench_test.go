package home

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/peer"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
)

// serveFixedAnswers answers every Query and Sync with fixed bytes, so that the benchmark
// measures the home host and not the backend server.
func serveFixedAnswers(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	be := pgproto3.NewBackend(nc, nc)
	if _, err := be.ReceiveStartupMessage(); err != nil {
		return
	}
	be.Send(&pgproto3.AuthenticationOk{})
	be.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if be.Flush() != nil {
		return
	}
	complete := func(tags ...string) (b []byte) {
		for _, tag := range tags {
			b, _ = (&pgproto3.CommandComplete{CommandTag: []byte(tag)}).Encode(b)
		}
		return b
	}
	ready, _ := (&pgproto3.ReadyForQuery{TxStatus: 'I'}).Encode(nil)
	answer := func(before []byte, values ...string) []byte {
		row := make([][]byte, len(values))
		for i, v := range values {
			row[i] = []byte(v)
		}
		b := bytes.Clone(before)
		for _, m := range []pgproto3.BackendMessage{
			&pgproto3.RowDescription{Fields: make([]pgproto3.FieldDescription, len(row))},
			&pgproto3.DataRow{Values: row}, &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}, &pgproto3.ReadyForQuery{TxStatus: 'I'},
		} {
			b, _ = m.Encode(b)
		}
		return b
	}
	resetTags := complete("RESET", "CLOSE CURSOR ALL", "UNLISTEN", "DISCARD TEMP", "DISCARD SEQUENCES")
	reset, set, other := answer(resetTags, ""), append(complete("SET"), ready...), answer(nil, "v")
	answerTo := func(kind byte, sql []byte) []byte {
		switch {
		case kind == msgSync:
			return ready
		case kind != msgQuery:
			return nil
		case bytes.Contains(sql, []byte(" cranberryhinge.evict(")):
			return answer(nil, string(bytes.Fields(sql)[1]), "")
		case bytes.Contains(sql, []byte(" cranberryhinge.status()")):
			return answer(nil, string(bytes.Fields(sql)[1]), "db", "1", "primary", "7", "7", "1")
		case bytes.HasPrefix(sql, []byte(resetQuery)):
			return reset
		case bytes.HasPrefix(sql, []byte("SET ")):
			return set
		default:
			return other
		}
	}
	buf := make([]byte, 64<<10)
	out := make([]byte, 0, 64<<10)
	for have := 0; ; {
		n, err := nc.Read(buf[have:])
		if err != nil {
			return
		}
		have += n
		at := 0
		for have-at >= headerSize {
			size := 1 + int(binary.BigEndian.Uint32(buf[at+1:]))
			if have-at < size {
				break
			}
			out = append(out, answerTo(buf[at], buf[at+headerSize:at+size])...)
			at += size
		}
		have = copy(buf, buf[at:have])
		if _, err := nc.Write(out); err != nil {
			return
		}
		out = out[:0]
	}
}

func benchmarkStatement(b *testing.B, start *peerpb.Start) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go serveFixedAnswers(nc)
		}
	}()
	h := New(Options{Host: "h1", Authority: &authority{term: 1}})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { _ = h.Run(ctx); close(ended) }()
	defer func() { cancel(); <-ended }()
	h.ServeBackend("g", config.Server{Name: "db", Address: ln.Addr().String(), Slots: 32, Connections: 68}, 1)
	frontend := encode(nil, &pgproto3.Query{String: "SELECT a FROM t WHERE b = 1"})
	start.Group, start.Server, start.Customer, start.TimeoutUs = "g", "db", "c1", 5e6
	statement := func() error {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		c, s := peer.Pipe(ctx)
		go func() { _ = h.Serve(s); s.Finish() }()
		_ = c.Send(&peerpb.RunRequest{Kind: &peerpb.RunRequest_Start{Start: start}})
		_ = c.Send(&peerpb.RunRequest{Kind: &peerpb.RunRequest_Frontend{Frontend: frontend}})
		for {
			m, err := c.Recv()
			if err == io.EOF {
				return nil
			}
			if f := m.GetFailure(); f != nil {
				b.Errorf("%v", f)
			}
			if err != nil {
				return err
			}
		}
	}
	assert.NilError(b, statement())
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := statement(); err != nil {
				b.Error(err)
			}
		}
	})
}

// BenchmarkStatement measures one statement through a Home with an in-process
// stream and a local backend server that sends only fixed bytes.
func BenchmarkStatement(b *testing.B) {
	b.Run("write", func(b *testing.B) { benchmarkStatement(b, &peerpb.Start{Intent: peerpb.Intent_INTENT_WRITE}) })
	b.Run("read", func(b *testing.B) { benchmarkStatement(b, &peerpb.Start{Intent: peerpb.Intent_INTENT_READ}) })
}
