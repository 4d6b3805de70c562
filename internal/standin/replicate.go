package standin

import (
	"bufio"
	"context"
	"encoding/gob"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/clock"
)

// replicationMagic opens a replication connection. As the length of a startup
// message it would be far too large.
const replicationMagic = "CHREPL01"

const (
	heartbeatInterval = 200 * time.Millisecond
	// linkTimeout ends a replication connection that carried nothing for this long.
	linkTimeout = time.Second
	// reconnectMin and reconnectMax bound the pause before a new connection.
	reconnectMin = 20 * time.Millisecond
	reconnectMax = 60 * time.Millisecond
	batchEntries = 256
	linkQueue    = 1024
)

// span says where the entries of a term begin.
type span struct {
	Term  uint64
	First uint64
}

// linkMessage is any message of a replication connection. The replica sends
// Hello and then Ack, the primary sends Welcome and then Entries.
type linkMessage struct {
	Hello   *hello
	Welcome *welcome
	Entries []entry
	Ack     uint64
}

// hello describes the replica and its log.
type hello struct {
	Server string
	Term   uint64
	Last   uint64
	Spans  []span
}

// welcome tells the replica up to which index the logs are the same.
type welcome struct {
	Common uint64
	Reject string
}

type link struct {
	conn net.Conn
	enc  *gob.Encoder
	dec  *gob.Decoder
}

func newLink(conn net.Conn, r *bufio.Reader) *link {
	return &link{conn: conn, enc: gob.NewEncoder(conn), dec: gob.NewDecoder(r)}
}

func (l *link) send(m linkMessage) error {
	l.conn.SetWriteDeadline(time.Now().Add(linkTimeout))
	return l.enc.Encode(m)
}

func (l *link) receive() (linkMessage, error) {
	var m linkMessage
	l.conn.SetReadDeadline(time.Now().Add(linkTimeout))
	err := l.dec.Decode(&m)
	return m, err
}

// delayed is a message and the time at which the delay of the transport ends.
type delayed struct {
	message linkMessage
	due     time.Time
}

// receiveAll reads messages until the connection ends and hands each on after
// the transport delay, in order.
func (db *Database) receiveAll(ctx context.Context, l *link, handle func(linkMessage) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	queue := make(chan delayed, linkQueue)
	var readErr error
	go func() {
		defer close(queue)
		for {
			m, err := l.receive()
			if err != nil {
				readErr = err
				return
			}
			select {
			case queue <- delayed{m, time.Now().Add(db.drawTransport())}:
			case <-ctx.Done():
				return
			}
		}
	}()
	for d := range queue {
		if !clock.Sleep(ctx, time.Until(d.due)) {
			break
		}
		if err := handle(d.message); err != nil {
			l.conn.Close()
			return err
		}
	}
	l.conn.Close()
	cancel()
	for range queue {
	}
	return readErr
}

func (db *Database) drawTransport() time.Duration {
	db.mu.Lock()
	r := db.settings.TransportDelay
	db.mu.Unlock()
	return db.dice.draw(r)
}

func (db *Database) spans() []span {
	var spans []span
	for _, e := range db.entries {
		if len(spans) == 0 || spans[len(spans)-1].Term != e.Term {
			spans = append(spans, span{Term: e.Term, First: e.Index})
		}
	}
	return spans
}

// common returns the last index up to which the own log and the replica's hold
// the same entries. Within a term there is one primary, so entries with equal
// term and index are the same and so are all before them.
func (db *Database) common(h *hello) uint64 {
	index := min(h.Last, db.last())
	for index > 0 && db.entries[index-1].Term != termAt(h.Spans, index) {
		index--
	}
	return index
}

func termAt(spans []span, index uint64) uint64 {
	var term uint64
	for _, s := range spans {
		if s.First <= index {
			term = s.Term
		}
	}
	return term
}

// serveReplica sends the log to a replica while both are in the same term.
func (db *Database) serveReplica(ctx context.Context, l *link) error {
	first, err := l.receive()
	if err != nil || first.Hello == nil {
		return errors.New("replication connection without hello")
	}
	h := first.Hello
	db.lock()
	reject := db.rejects(h)
	common := db.common(h)
	if reject == "" {
		db.acks[h.Server] = common
		db.changed()
	}
	db.mu.Unlock()
	if err := l.send(linkMessage{Welcome: &welcome{Common: common, Reject: reject}}); err != nil || reject != "" {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	received := make(chan error, 1)
	go func() {
		received <- db.receiveAll(ctx, l, func(m linkMessage) error { return db.acknowledge(h, m.Ack) })
		cancel()
	}()
	err = db.sendLog(ctx, l, h, common)
	l.conn.Close()
	cancel()
	<-received
	return err
}

// rejects returns why the replica is not served.
func (db *Database) rejects(h *hello) string {
	switch {
	case db.role != rolePrimary:
		return "not a primary"
	case h.Term != db.term:
		return "other term"
	case db.isolated[h.Server]:
		return "isolated"
	}
	return ""
}

func (db *Database) acknowledge(h *hello, index uint64) error {
	db.lock()
	defer db.mu.Unlock()
	if reason := db.rejects(h); reason != "" {
		return errors.New(reason)
	}
	if index > db.acks[h.Server] {
		db.acks[h.Server] = index
		db.changed()
	}
	return nil
}

func (db *Database) sendLog(ctx context.Context, l *link, h *hello, sent uint64) error {
	for {
		db.lock()
		reason, change := db.rejects(h), db.change
		var batch []entry
		if reason == "" {
			batch = db.entries[sent:min(db.last(), sent+batchEntries)]
		}
		db.mu.Unlock()
		if reason != "" {
			return errors.New(reason)
		}
		if len(batch) == 0 {
			timer := time.NewTimer(heartbeatInterval)
			select {
			case <-change:
				timer.Stop()
				continue
			case <-timer.C:
			case <-ctx.Done():
				timer.Stop()
				return ctx.Err()
			}
		}
		if err := l.send(linkMessage{Entries: batch}); err != nil {
			return err
		}
		sent += uint64(len(batch))
	}
}

// followLoop keeps a replica connected to the primary that it follows.
func (db *Database) followLoop(l *life) {
	defer l.done.Done()
	for l.ctx.Err() == nil {
		db.lock()
		follows, primary, change := db.role == roleReplica, db.primary, db.change
		address, reachable := db.peers[primary], !db.isolated[primary]
		h := &hello{Server: db.settings.Name, Term: db.term, Last: db.last()}
		if follows {
			h.Spans = db.spans()
		}
		db.mu.Unlock()
		if !follows {
			select {
			case <-change:
			case <-l.ctx.Done():
			}
			continue
		}
		if address != "" && reachable {
			_ = db.followOnce(l.ctx, address, primary, h)
		}
		clock.Sleep(l.ctx, db.dice.draw(Range{Min: reconnectMin, Max: reconnectMax}))
	}
}

func (db *Database) followOnce(ctx context.Context, address, primary string, h *hello) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	db.lock()
	err := db.follows(h, primary)
	db.unlink = cancel
	db.mu.Unlock()
	if err != nil {
		return err
	}
	dialer := net.Dialer{Timeout: linkTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if _, err := conn.Write([]byte(replicationMagic)); err != nil {
		return err
	}
	l := newLink(conn, bufio.NewReader(conn))
	if err := l.send(linkMessage{Hello: h}); err != nil {
		return err
	}
	first, err := l.receive()
	if err != nil {
		return err
	}
	if first.Welcome == nil || first.Welcome.Reject != "" {
		return errors.New("replication refused")
	}
	if err := db.align(h, primary, first.Welcome.Common); err != nil {
		return err
	}
	if err := db.sendAck(l, h, primary); err != nil {
		return err
	}
	return db.receiveAll(ctx, l, func(m linkMessage) error {
		if err := db.deliver(h, primary, m.Entries); err != nil {
			return err
		}
		return db.sendAck(l, h, primary)
	})
}

// follows reports whether the database still follows the primary in the term
// of the hello.
func (db *Database) follows(h *hello, primary string) error {
	if db.role != roleReplica || db.term != h.Term || db.primary != primary || db.isolated[primary] {
		return errors.New("no longer follows " + primary)
	}
	return nil
}

// align discards the log tail that the primary lacks.
func (db *Database) align(h *hello, primary string, common uint64) error {
	db.lock()
	defer db.mu.Unlock()
	if err := db.follows(h, primary); err != nil {
		return err
	}
	if common > db.last() {
		return errors.New("primary claims more than the replica's log")
	}
	db.discard(common)
	return nil
}

func (db *Database) deliver(h *hello, primary string, batch []entry) error {
	db.lock()
	defer db.mu.Unlock()
	if err := db.follows(h, primary); err != nil {
		return err
	}
	now := time.Now()
	for _, e := range batch {
		if e.Index != db.last()+1 {
			return errors.Errorf("entry %d after %d", e.Index, db.last())
		}
		db.entries = append(db.entries, e)
		db.journal(journalRecord{Entry: &e})
		db.due = append(db.due, now.Add(db.dice.draw(db.settings.ApplyDelay)))
	}
	if len(batch) > 0 {
		db.changed()
	}
	return nil
}

func (db *Database) sendAck(l *link, h *hello, primary string) error {
	db.lock()
	err, last := db.follows(h, primary), db.last()
	db.mu.Unlock()
	if err != nil {
		return err
	}
	return l.send(linkMessage{Ack: last})
}

// applyLoop applies received entries after the apply delay.
func (db *Database) applyLoop(l *life) {
	defer l.done.Done()
	for l.ctx.Err() == nil {
		db.lock()
		wait := heartbeatInterval
		applied := false
		for db.applying && len(db.due) > 0 {
			if wait = time.Until(db.due[0]); wait > 0 {
				break
			}
			db.applyNext()
			applied = true
		}
		if applied {
			db.changed()
		}
		idle, change := !db.applying || len(db.due) == 0, db.change
		db.mu.Unlock()
		db.awaitApply(l.ctx, idle, wait, change)
	}
}

func (db *Database) awaitApply(ctx context.Context, idle bool, wait time.Duration, change <-chan struct{}) {
	if !idle {
		clock.Sleep(ctx, wait)
		return
	}
	select {
	case <-change:
	case <-ctx.Done():
	}
}
