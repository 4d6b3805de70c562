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

// replicationMagic opens a replication connection. It is distinct from a
// startup message: read as the length of one, it would be far too large.
const replicationMagic = "CHREPL01"

const (
	heartbeatInterval = 200 * time.Millisecond
	// linkTimeout bounds the connect and each read and write of a replication
	// connection. It exceeds heartbeatInterval, so that an idle connection stays
	// open.
	linkTimeout = time.Second
	// reconnectDelayMin and reconnectDelayMax bound the random delay before a new
	// connection.
	reconnectDelayMin = 20 * time.Millisecond
	reconnectDelayMax = 60 * time.Millisecond
	maxBatchEntries   = 256
	linkQueueLength   = 1024
)

// span holds the index of the first entry of a term.
type span struct {
	Term  uint64
	First uint64
}

// linkMessage is any message of a replication connection. The replica sends
// Hello and then Ack, the primary sends Welcome and then Entries; empty Entries
// are a heartbeat. Messages are encoded by gob under the names of their types
// and fields.
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

// welcome answers a hello with the last index up to which the logs are the
// same, or with the reason for a rejection.
type welcome struct {
	Common uint64
	Reject string
}

// link is a replication connection between two databases.
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

// delayedMessage is a message and the time at which its transport delay ends.
type delayedMessage struct {
	message   linkMessage
	deliverAt time.Time
}

// receiveMessages reads messages until the connection ends and passes each to
// handle after the transport delay, in order.
func (db *Database) receiveMessages(ctx context.Context, l *link, handle func(linkMessage) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	queue := make(chan delayedMessage, linkQueueLength)
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
			case queue <- delayedMessage{m, time.Now().Add(db.sampleTransportDelay())}:
			case <-ctx.Done():
				return
			}
		}
	}()
	for d := range queue {
		if !clock.Sleep(ctx, time.Until(d.deliverAt)) {
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

func (db *Database) sampleTransportDelay() time.Duration {
	db.mu.Lock()
	r := db.settings.TransportDelay
	db.mu.Unlock()
	return db.delays.sample(r)
}

func (db *Database) termSpans() []span {
	var spans []span
	for _, e := range db.entries {
		if len(spans) == 0 || spans[len(spans)-1].Term != e.Term {
			spans = append(spans, span{Term: e.Term, First: e.Index})
		}
	}
	return spans
}

// commonIndex returns the last index up to which the database's own log and the
// replica's hold the same entries. A term has one primary, so entries with
// equal term and index are the same, and so are all entries before them.
func (db *Database) commonIndex(h *hello) uint64 {
	index := min(h.Last, db.lastIndex())
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

// serveReplica sends the log to a replica while the database is the primary of
// the replica's term.
func (db *Database) serveReplica(ctx context.Context, l *link) error {
	first, err := l.receive()
	if err != nil || first.Hello == nil {
		return errors.New("replication connection does not begin with a hello message")
	}
	h := first.Hello
	db.lock()
	reject := db.rejectReason(h)
	commonIndex := db.commonIndex(h)
	if reject == "" {
		db.ackedIndexes[h.Server] = commonIndex
		db.signalChange()
	}
	db.mu.Unlock()
	if err := l.send(linkMessage{Welcome: &welcome{Common: commonIndex, Reject: reject}}); err != nil || reject != "" {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	receiveDone := make(chan error, 1)
	go func() {
		receiveDone <- db.receiveMessages(ctx, l, func(m linkMessage) error { return db.recordAck(h, m.Ack) })
		cancel()
	}()
	err = db.sendEntries(ctx, l, h, commonIndex)
	l.conn.Close()
	cancel()
	<-receiveDone
	return err
}

// rejectReason returns why the replica is not served, or an empty string.
func (db *Database) rejectReason(h *hello) string {
	switch {
	case db.role != rolePrimary:
		return "not a primary"
	case h.Term != db.term:
		return "other term"
	case db.isolatedPeers[h.Server]:
		return "isolated"
	}
	return ""
}

func (db *Database) recordAck(h *hello, index uint64) error {
	db.lock()
	defer db.mu.Unlock()
	if reason := db.rejectReason(h); reason != "" {
		return errors.New(reason)
	}
	if index > db.ackedIndexes[h.Server] {
		db.ackedIndexes[h.Server] = index
		db.signalChange()
	}
	return nil
}

// sendEntries sends the log after sentIndex as it grows, and heartbeats while
// it does not.
func (db *Database) sendEntries(ctx context.Context, l *link, h *hello, sentIndex uint64) error {
	for {
		db.lock()
		reason, changeSignal := db.rejectReason(h), db.changeSignal
		var batch []entry
		if reason == "" {
			batch = db.entries[sentIndex:min(db.lastIndex(), sentIndex+maxBatchEntries)]
		}
		db.mu.Unlock()
		if reason != "" {
			return errors.New(reason)
		}
		if len(batch) == 0 {
			timer := time.NewTimer(heartbeatInterval)
			select {
			case <-changeSignal:
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
		sentIndex += uint64(len(batch))
	}
}

// followLoop keeps a replica connected to the primary that it follows.
func (db *Database) followLoop(inst *instance) {
	defer inst.goroutines.Done()
	for inst.ctx.Err() == nil {
		db.lock()
		isReplica, primary, changeSignal := db.role == roleReplica, db.primary, db.changeSignal
		address, reachable := db.peers[primary], !db.isolatedPeers[primary]
		h := &hello{Server: db.settings.Name, Term: db.term, Last: db.lastIndex()}
		if isReplica {
			h.Spans = db.termSpans()
		}
		db.mu.Unlock()
		if !isReplica {
			select {
			case <-changeSignal:
			case <-inst.ctx.Done():
			}
			continue
		}
		if address != "" && reachable {
			_ = db.replicateFrom(inst.ctx, address, primary, h)
		}
		clock.Sleep(inst.ctx, db.delays.sample(DurationRange{Min: reconnectDelayMin, Max: reconnectDelayMax}))
	}
}

// replicateFrom receives the primary's log over one connection until the
// connection ends or the database no longer follows the primary.
func (db *Database) replicateFrom(ctx context.Context, address, primary string, h *hello) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	db.lock()
	err := db.checkFollowing(h, primary)
	db.cancelReplication = cancel
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
		return errors.New("primary rejected the replication connection")
	}
	if err := db.truncateToCommon(h, primary, first.Welcome.Common); err != nil {
		return err
	}
	if err := db.sendAck(l, h, primary); err != nil {
		return err
	}
	return db.receiveMessages(ctx, l, func(m linkMessage) error {
		if err := db.appendEntries(h, primary, m.Entries); err != nil {
			return err
		}
		return db.sendAck(l, h, primary)
	})
}

// checkFollowing returns an error unless the database still follows the primary
// in the term of the hello.
func (db *Database) checkFollowing(h *hello, primary string) error {
	if db.role != roleReplica || db.term != h.Term || db.primary != primary || db.isolatedPeers[primary] {
		return errors.New("database no longer follows " + primary)
	}
	return nil
}

// truncateToCommon discards the log tail that the primary does not have.
func (db *Database) truncateToCommon(h *hello, primary string, commonIndex uint64) error {
	db.lock()
	defer db.mu.Unlock()
	if err := db.checkFollowing(h, primary); err != nil {
		return err
	}
	if commonIndex > db.lastIndex() {
		return errors.New("common index of the primary is beyond the end of the replica's log")
	}
	db.truncateLog(commonIndex)
	return nil
}

// appendEntries appends a batch of the primary's entries to the log and draws
// the time at which each is applied.
func (db *Database) appendEntries(h *hello, primary string, batch []entry) error {
	db.lock()
	defer db.mu.Unlock()
	if err := db.checkFollowing(h, primary); err != nil {
		return err
	}
	now := time.Now()
	for _, e := range batch {
		if e.Index != db.lastIndex()+1 {
			return errors.Errorf("gap in replication: received log entry %d after log entry %d", e.Index, db.lastIndex())
		}
		db.entries = append(db.entries, e)
		db.appendJournal(journalRecord{Entry: &e})
		db.applyTimes = append(db.applyTimes, now.Add(db.delays.sample(db.settings.ApplyDelay)))
	}
	if len(batch) > 0 {
		db.signalChange()
	}
	return nil
}

func (db *Database) sendAck(l *link, h *hello, primary string) error {
	db.lock()
	err, last := db.checkFollowing(h, primary), db.lastIndex()
	db.mu.Unlock()
	if err != nil {
		return err
	}
	return l.send(linkMessage{Ack: last})
}

// applyLoop applies received entries after the apply delay.
func (db *Database) applyLoop(inst *instance) {
	defer inst.goroutines.Done()
	for inst.ctx.Err() == nil {
		db.lock()
		wait := heartbeatInterval
		applied := false
		for db.applyEnabled && len(db.applyTimes) > 0 {
			if wait = time.Until(db.applyTimes[0]); wait > 0 {
				break
			}
			db.applyNext()
			applied = true
		}
		if applied {
			db.signalChange()
		}
		idle, changeSignal := !db.applyEnabled || len(db.applyTimes) == 0, db.changeSignal
		db.mu.Unlock()
		db.waitForApply(inst.ctx, idle, wait, changeSignal)
	}
}

func (db *Database) waitForApply(ctx context.Context, idle bool, wait time.Duration, changeSignal <-chan struct{}) {
	if !idle {
		clock.Sleep(ctx, wait)
		return
	}
	select {
	case <-changeSignal:
	case <-ctx.Done():
	}
}
