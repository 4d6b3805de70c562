package bench

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
)

const (
	tokenParameter    = "cranberryhinge.token"
	resolutionUnknown = "08007"
	adminShutdown     = "57P01"
	cannotConnectNow  = "57P03"
)

// session simulates one caller. It holds one connection for each route that it uses, and
// passes its session token, the value of tokenParameter, between them and from host to
// host.
type session struct {
	flow *flow
	id   int
	rng  *rand.Rand
	// explicitTransaction makes the session write in explicit transactions instead of
	// implicit ones.
	explicitTransaction bool

	host  string
	conns map[string]*routeConn
	token string
	// coveredUntil is the time at which the newest acknowledged write was sent. The
	// token covers all writes that were acknowledged before it.
	coveredUntil time.Duration
	reconnectAt  time.Duration

	key           string
	seq           int
	keyGeneration int
}

// routeConn is a connection of a session on one route.
type routeConn struct {
	conn        *pgx.Conn
	route       config.Route
	connectedAt time.Duration
	token       string
	// floor is the time up to which the position that the host read from the primary
	// covers acknowledged writes. It is set by a first read without a token.
	floor   time.Duration
	hasRead bool
}

func newSession(f *flow, id int) *session {
	s := &session{
		flow: f, id: id, rng: rand.New(rand.NewPCG(f.load.seed, uint64(id)<<32)), explicitTransaction: id%3 == 0, conns: map[string]*routeConn{},
	}
	s.switchKey()
	s.scheduleReconnect(0)
	return s
}

// switchKey switches to a new key, which no attempt with an unknown outcome can change.
func (s *session) switchKey() {
	s.keyGeneration++
	s.key, s.seq = "s"+strconv.Itoa(s.id)+"-"+strconv.Itoa(s.keyGeneration), 0
}

func (s *session) scheduleReconnect(now time.Duration) {
	if s.flow.ReconnectInterval > 0 {
		s.reconnectAt = now + time.Duration(s.rng.ExpFloat64()*float64(s.flow.ReconnectInterval))
	}
}

func (s *session) warmUp(ctx context.Context) error {
	routes := s.flow.ReadRoutes
	if s.flow.WriteShare > 0 {
		routes = append([]string{s.flow.WriteRoute}, routes...)
	}
	for _, route := range routes {
		if _, err := s.connection(ctx, route); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) close() {
	for route, rc := range s.conns {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_ = rc.conn.Close(ctx)
		cancel()
		delete(s.conns, route)
	}
}

func (s *session) run(ctx context.Context) {
	for scheduled := range s.flow.arrivals {
		if ctx.Err() != nil {
			continue
		}
		if now := s.flow.load.Now(); s.reconnectAt > 0 && now > s.reconnectAt {
			s.close()
			s.scheduleReconnect(now)
		}
		s.handleRequest(ctx, scheduled)
	}
}

// handleRequest runs one request and records its sample. If the host ended the session
// before the request and states that the request did not run, it is retried once on a
// new session, as a caller behind a balancer does.
func (s *session) handleRequest(ctx context.Context, scheduled time.Duration) {
	load := s.flow.load
	write := s.rng.Float64() < s.flow.WriteShare
	sample := Sample{Class: s.flow.Class, Customer: s.flow.Customer, Group: s.flow.Group, Write: write, Scheduled: scheduled, Sent: load.Now()}
	sample.WithinRate = load.takeRateToken(s.flow.Customer, sample.Sent)
	r := s.attempt(ctx, write)
	if r.sessionEnded {
		s.close()
		r = s.attempt(ctx, write)
	}
	sample.Host = s.host
	sample.Done, sample.Outcome, sample.State = load.Now(), r.outcome, r.state
	load.recordSample(sample)
}

// result is the result of one attempt as the client sees it.
type result struct {
	outcome Outcome
	state   string
	// sessionEnded is set if the host ended the session instead of running the request.
	sessionEnded bool
}

// classify derives the result of an attempt from an error of pgx, or nil.
func classify(err error) result {
	var pg *pgconn.PgError
	switch {
	case err == nil:
		return result{outcome: Served}
	case errors.As(err, &pg) && pg.Code == resolutionUnknown:
		return result{outcome: Unknown, state: pg.Code + " " + pg.Message}
	case errors.As(err, &pg):
		sessionEnded := pg.Severity == "FATAL" && (pg.Code == adminShutdown || pg.Code == cannotConnectNow)
		return result{outcome: Refused, state: pg.Code, sessionEnded: sessionEnded}
	case errors.Is(err, pgx.ErrTxCommitRollback):
		return result{outcome: Refused, state: "rollback"}
	case pgconn.SafeToRetry(err):
		return result{outcome: Unsent, state: "closed", sessionEnded: true}
	default:
		return result{outcome: Lost, state: "lost"}
	}
}

func (s *session) attempt(ctx context.Context, write bool) result {
	route := s.flow.WriteRoute
	if !write {
		route = s.flow.ReadRoutes[s.rng.IntN(len(s.flow.ReadRoutes))]
	}
	rc, err := s.connection(ctx, route)
	if err != nil {
		r := classify(err)
		if r.outcome != Refused {
			r = result{outcome: Unsent, state: "unreachable"}
		}
		return r
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if write {
		err = s.write(ctx, rc)
	} else {
		err = s.read(ctx, rc)
	}
	if rc.conn.IsClosed() {
		delete(s.conns, route)
	}
	return classify(err)
}

// connection returns the session's connection on the route and opens it if necessary.
// All connections of a session lead to one host.
func (s *session) connection(ctx context.Context, name string) (*routeConn, error) {
	if rc, ok := s.conns[name]; ok && !rc.conn.IsClosed() {
		return rc, nil
	}
	load := s.flow.load
	if len(s.conns) == 0 {
		s.host = load.randomReadyHost(s.flow.Hosts, s.host, s.rng)
	}
	route, ok := load.doc.Route(name)
	if !ok {
		return nil, errors.Errorf("route %q is not configured", name)
	}
	cfg, err := load.cluster.ConnConfig(s.host, name, s.flow.Customer)
	if err != nil {
		return nil, err
	}
	if s.token != "" {
		cfg.RuntimeParams[tokenParameter] = s.token
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	rc := &routeConn{route: route, connectedAt: load.Now(), token: s.token}
	if rc.conn, err = pgx.ConnectConfig(ctx, cfg); err != nil {
		// The next request tries another host.
		s.close()
		return nil, errors.Wrapf(err, "connect to %s on route %s", s.host, name)
	}
	s.conns[name] = rc
	return rc, nil
}

func (s *session) write(ctx context.Context, rc *routeConn) error {
	load := s.flow.load
	s.seq++
	w := Write{Group: s.flow.Group, Key: s.key, Customer: s.flow.Customer, Seq: s.seq, Session: s.id, Sent: load.Now()}
	var err error
	if s.explicitTransaction {
		err = writeExplicit(ctx, rc.conn, s.key, s.seq)
	} else {
		err = writeImplicit(ctx, rc.conn, s.key, s.seq)
	}
	w.Done, w.Outcome = load.Now(), classify(err).outcome
	load.History.AddWrite(w)
	switch w.Outcome {
	case Served:
		s.token, s.coveredUntil = rc.conn.PgConn().ParameterStatus(tokenParameter), w.Sent
		rc.token = s.token
		load.addWrittenKey(s.flow.Group, s.key)
	case Unknown, Lost:
		s.switchKey()
	}
	return err
}

// Every write sets the value of its key and appends the value to the log, so that a
// second run of the write can be detected.
const (
	upsertValue    = "INSERT INTO kv (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = excluded.value"
	insertLogEntry = "INSERT INTO log (entry) VALUES ($1)"
)

func writeExplicit(ctx context.Context, conn *pgx.Conn, key string, seq int) error {
	return pgx.BeginFunc(ctx, conn, func(tx pgx.Tx) error {
		if _, err := tx.Exec(ctx, upsertValue, key, valueOf(key, seq)); err != nil {
			return err
		}
		_, err := tx.Exec(ctx, insertLogEntry, valueOf(key, seq))
		return err
	})
}

func writeImplicit(ctx context.Context, conn *pgx.Conn, key string, seq int) error {
	value := valueOf(key, seq)
	_, err := conn.Exec(ctx, "INSERT INTO kv (key, value) VALUES ('"+key+"', '"+value+"') ON CONFLICT (key) DO UPDATE SET value = excluded.value; "+
		"INSERT INTO log (entry) VALUES ('"+value+"')", pgx.QueryExecModeSimpleProtocol)
	return err
}

func (s *session) read(ctx context.Context, rc *routeConn) error {
	load := s.flow.load
	if s.token != rc.token {
		if _, err := rc.conn.Exec(ctx, "SET "+tokenParameter+" = '"+s.token+"'", pgx.QueryExecModeSimpleProtocol); err != nil {
			return err
		}
		rc.token = s.token
	}
	if rc.token == "" && !rc.hasRead {
		rc.floor = rc.connectedAt
	}
	r := Read{Group: s.flow.Group, Key: s.key, Session: s.id, Sent: load.Now(), Bound: rc.route.Staleness.Std()}
	r.Customer, r.CoveredUntil, r.OwnCustomerCoveredUntil = s.flow.Customer, s.coveredUntil, max(s.coveredUntil, rc.floor)
	// Half of the reads of a session that has written are reads of its own key.
	if s.seq == 0 || s.rng.IntN(2) == 0 {
		r.Key = load.randomKey(r.Group, s.rng)
	}
	var value string
	err := rc.conn.QueryRow(ctx, "SELECT value FROM kv WHERE key = $1", r.Key).Scan(&value)
	if errors.Is(err, pgx.ErrNoRows) {
		err = nil
	}
	if err != nil {
		return err
	}
	rc.hasRead = true
	r.Done = load.Now()
	if value != "" {
		r.Seq = seqOf(r.Key, value)
	}
	load.History.AddRead(r)
	return nil
}
