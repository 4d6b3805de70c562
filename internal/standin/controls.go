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
	db.signalChange()
}

// Pause stops the database as SIGSTOP does: sockets stay open, and until Resume
// nothing is answered, committed, sent or applied.
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
	db.resumeCond.Broadcast()
}

// Isolate blocks replication with the named databases in both directions until
// EndIsolation. Clients are not affected.
func (db *Database) Isolate(names ...string) {
	db.mu.Lock()
	defer db.mu.Unlock()
	for _, name := range names {
		db.isolatedPeers[name] = true
	}
	db.restartReplication()
}

// EndIsolation ends the isolation from all databases.
func (db *Database) EndIsolation() {
	db.mu.Lock()
	defer db.mu.Unlock()
	clear(db.isolatedPeers)
	db.signalChange()
}

// SilenceClients makes every open client connection silent permanently: no data
// is delivered in either direction, and neither side is notified. New
// connections work. The server closes a silent connection after the setting
// SilentTimeout.
func (db *Database) SilenceClients() {
	db.mu.Lock()
	defer db.mu.Unlock()
	for _, s := range db.sessions {
		s.conn.silence(db.settings.SilentTimeout)
	}
}

// SetAnswerDelay sets the delay of every write to a client connection.
func (db *Database) SetAnswerDelay(d time.Duration) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.settings.AnswerDelay = d
}

// SetServiceTime sets the time for which a data statement occupies its slot.
func (db *Database) SetServiceTime(r DurationRange) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.settings.ServiceTime = r
}

// SetTransportDelay sets the one-way delay of replication.
func (db *Database) SetTransportDelay(r DurationRange) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.settings.TransportDelay = r
}

// SetApplyDelay sets the time between receiving and applying a log entry.
func (db *Database) SetApplyDelay(r DurationRange) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.settings.ApplyDelay = r
}

// SetApplyEnabled stops or resumes the application of received log entries.
func (db *Database) SetApplyEnabled(on bool) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.applyEnabled = on
	db.signalChange()
}

// maxStartups bounds the memory that Record.Startups takes in long runs.
const maxStartups = 10000

// Startup is what one client connection sent before its first statement.
type Startup struct {
	Parameters map[string]string
	// Password is the clear text, or the digest with MD5 authentication.
	Password string
}

// Record counts the client connections and statements of a database. The
// statement SHOW standin.record returns it as JSON.
type Record struct {
	Startups []Startup
	// MaxConnections is the largest number of connections open at once.
	MaxConnections int
	// MaxOffered is the largest number of data statements that ran or waited for a
	// slot at once; MaxRunning counts only those that ran.
	MaxOffered int
	MaxRunning int
	// LastData is the time at which the latest data statement arrived.
	LastData time.Time
	// Refused counts connections rejected above the connection limit, Evicted those
	// closed by the contract function evict.
	Refused int
	Evicted int
	// Commits counts committed transactions with writes.
	Commits int
	// Sightings counts the chunks of bytes from clients that contain a watched
	// text.
	Sightings int
}

// Record returns a copy of the counters since Start.
func (db *Database) Record() Record {
	db.mu.Lock()
	defer db.mu.Unlock()
	r := db.record
	r.Startups = append([]Startup(nil), r.Startups...)
	return r
}

// WatchClientText adds texts to search for in all bytes that clients send.
// Record.Sightings counts the matches.
func (db *Database) WatchClientText(texts ...string) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.watchedTexts = append(db.watchedTexts, texts...)
}

// countWatchedTexts counts the chunk if it contains a watched text, also one
// that begins in the tail of the previous chunks. It returns the bytes to
// prepend to the next chunk.
func (db *Database) countWatchedTexts(tail, chunk []byte) []byte {
	db.mu.Lock()
	defer db.mu.Unlock()
	if len(db.watchedTexts) == 0 {
		return nil
	}
	joined := append(tail, chunk...)
	overlap := 0
	for _, text := range db.watchedTexts {
		if bytes.Contains(joined, []byte(text)) {
			db.record.Sightings++
			return nil
		}
		overlap = max(overlap, len(text)-1)
	}
	return append([]byte(nil), joined[max(0, len(joined)-overlap):]...)
}
