package standin

import (
	"bytes"
	"maps"
	"time"
)

// SetPeers sets the addresses of the group's other databases.
func (db *Database) SetPeers(peers map[string]string) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.peers = maps.Clone(peers)
	db.changed()
}

// Pause stops the database as SIGSTOP does: sockets stay open, nothing is
// answered, committed, sent or applied until Resume.
func (db *Database) Pause() {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.paused = true
}

// Resume ends Pause.
func (db *Database) Resume() {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.paused = false
	db.resume.Broadcast()
}

// Isolate cuts replication with the named databases, in both directions, until
// Rejoin. Clients are not affected.
func (db *Database) Isolate(names ...string) {
	db.mu.Lock()
	defer db.mu.Unlock()
	for _, name := range names {
		db.isolated[name] = true
	}
	db.relink()
}

// Rejoin ends every Isolate.
func (db *Database) Rejoin() {
	db.mu.Lock()
	defer db.mu.Unlock()
	clear(db.isolated)
	db.changed()
}

// SilenceClients makes every open client connection silent for good: nothing
// arrives and nothing leaves, and neither side learns of it. New connections
// work. The server drops a silent connection after the setting SilentTimeout.
func (db *Database) SilenceClients() {
	db.mu.Lock()
	defer db.mu.Unlock()
	for _, s := range db.sessions {
		s.conn.silence(db.settings.SilentTimeout)
	}
}

// SetAnswerDelay delays every answer.
func (db *Database) SetAnswerDelay(d time.Duration) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.settings.AnswerDelay = d
}

// SetServiceTime sets the time for which a data statement occupies its slot.
func (db *Database) SetServiceTime(r Range) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.settings.ServiceTime = r
}

// SetTransportDelay sets the one-way delay of replication.
func (db *Database) SetTransportDelay(r Range) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.settings.TransportDelay = r
}

// SetApplyDelay sets the time between receiving and applying a log entry.
func (db *Database) SetApplyDelay(r Range) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.settings.ApplyDelay = r
}

// SetApplying stops or continues the application of received log entries.
func (db *Database) SetApplying(on bool) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.applying = on
	db.changed()
}

// maxStartups bounds the memory of the record in long runs.
const maxStartups = 10000

// Startup is what one client connection sent before its first statement.
type Startup struct {
	Parameters map[string]string
	// Password is the clear text, or the digest with MD5 authentication.
	Password string
}

// Record is what the database saw of its clients. The statement
// SHOW standin.record returns it as JSON.
type Record struct {
	Startups []Startup
	// MaxConnections is the largest number of connections open at once.
	MaxConnections int
	// MaxOffered is the largest number of data statements that ran or waited
	// for a slot at once, MaxRunning of those that ran.
	MaxOffered int
	MaxRunning int
	// LastData is the time at which the newest data statement arrived.
	LastData time.Time
	// Refused counts connections above the limit, Evicted those that evict closed.
	Refused int
	Evicted int
	// Commits counts transactions that wrote.
	Commits int
	// Sightings counts the chunks of client bytes that held a watched text.
	Sightings int
}

// Record returns what the database saw since its start.
func (db *Database) Record() Record {
	db.mu.Lock()
	defer db.mu.Unlock()
	r := db.record
	r.Startups = append([]Startup(nil), r.Startups...)
	return r
}

// Watch searches every byte that clients send for the texts.
func (db *Database) Watch(texts ...string) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.watched = append(db.watched, texts...)
}

// inspect counts a chunk that holds a watched text and returns the bytes that
// the next chunk has to be joined to.
func (db *Database) inspect(tail, chunk []byte) []byte {
	db.mu.Lock()
	defer db.mu.Unlock()
	if len(db.watched) == 0 {
		return nil
	}
	joined := append(tail, chunk...)
	keep := 0
	for _, text := range db.watched {
		if bytes.Contains(joined, []byte(text)) {
			db.record.Sightings++
			return nil
		}
		keep = max(keep, len(text)-1)
	}
	return append([]byte(nil), joined[max(0, len(joined)-keep):]...)
}
