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
	unknownResolution = "08007"
	adminShutdown     = "57P01"
	cannotConnectNow  = "57P03"
)

// session is one caller. It holds one connection for each route that it uses,
// and carries its causality token between them and from host to host.
type session struct {
	flow *flow
	id   int
	rng  *rand.Rand
	// explicit sessions write in an explicit transaction; the others send one
	// implicit transaction.
	explicit bool

	host  string
	links map[string]*link
	token string
	// known is the time at which the newest acknowledged write was sent: the
	// token covers everything that was acknowledged before.
	known time.Duration
	moves time.Duration

	key        string
	seq        int
	generation int
}

// link is a connection of a session on one route.
type link struct {
	conn  *pgx.Conn
	route config.Route
	since time.Duration
	token string
	// floor is the time up to which the host's own look at the primary covers
	// acknowledged writes. It is set by a first read without a token.
	floor time.Duration
	read  bool
}

func newSession(f *flow, id int) *session {
	s := &session{
		flow: f, id: id, rng: rand.New(rand.NewPCG(f.load.seed, uint64(id)<<32)), explicit: id%3 == 0, links: map[string]*link{},
	}
	s.newKey()
	s.planMove(0)
	return s
}

// newKey moves on to a key that no attempt with an open outcome can change.
func (s *session) newKey() {
	s.generation++
	s.key, s.seq = "s"+strconv.Itoa(s.id)+"-"+strconv.Itoa(s.generation), 0
}

func (s *session) planMove(now time.Duration) {
	if s.flow.MoveEvery > 0 {
		s.moves = now + time.Duration(s.rng.ExpFloat64()*float64(s.flow.MoveEvery))
	}
}

func (s *session) warmUp(ctx context.Context) error {
	routes := s.flow.ReadRoutes
	if s.flow.WriteShare > 0 {
		routes = append([]string{s.flow.WriteRoute}, routes...)
	}
	for _, route := range routes {
		if _, err := s.link(ctx, route); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) close() {
	for route, l := range s.links {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_ = l.conn.Close(ctx)
		cancel()
		delete(s.links, route)
	}
}

func (s *session) run(ctx context.Context) {
	for due := range s.flow.arrivals {
		if ctx.Err() != nil {
			continue
		}
		if now := s.flow.load.Now(); s.moves > 0 && now > s.moves {
			s.close()
			s.planMove(now)
		}
		s.serve(ctx, due)
	}
}

// serve runs one request. When the session had been ended before the request,
// with a claim that it did not run, it is sent once more on a new session, as a
// caller behind a balancer does.
func (s *session) serve(ctx context.Context, due time.Duration) {
	load := s.flow.load
	write := s.rng.Float64() < s.flow.WriteShare
	sample := Sample{Class: s.flow.Class, Customer: s.flow.Customer, Group: s.flow.Group, Write: write, Due: due, Sent: load.Now()}
	sample.Within = load.offer(s.flow.Customer, sample.Sent)
	r := s.once(ctx, write)
	if r.ended {
		s.close()
		r = s.once(ctx, write)
	}
	sample.Host = s.host
	sample.Done, sample.Outcome, sample.State = load.Now(), r.outcome, r.state
	load.record(sample)
}

// result is the client's view of one attempt.
type result struct {
	outcome Outcome
	state   string
	// ended is set when the host ended the session instead of running the request.
	ended bool
}

// classify derives the result from an error of pgx.
func classify(err error) result {
	var pg *pgconn.PgError
	switch {
	case err == nil:
		return result{outcome: Served}
	case errors.As(err, &pg) && pg.Code == unknownResolution:
		return result{outcome: Unknown, state: pg.Code + " " + pg.Message}
	case errors.As(err, &pg):
		ended := pg.Severity == "FATAL" && (pg.Code == adminShutdown || pg.Code == cannotConnectNow)
		return result{outcome: Refused, state: pg.Code, ended: ended}
	case errors.Is(err, pgx.ErrTxCommitRollback):
		return result{outcome: Refused, state: "rollback"}
	case pgconn.SafeToRetry(err):
		return result{outcome: Unsent, state: "closed", ended: true}
	default:
		return result{outcome: Lost, state: "lost"}
	}
}

func (s *session) once(ctx context.Context, write bool) result {
	route := s.flow.WriteRoute
	if !write {
		route = s.flow.ReadRoutes[s.rng.IntN(len(s.flow.ReadRoutes))]
	}
	l, err := s.link(ctx, route)
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
		err = s.write(ctx, l)
	} else {
		err = s.read(ctx, l)
	}
	if l.conn.IsClosed() {
		delete(s.links, route)
	}
	return classify(err)
}

// link returns the session's connection on the route. All connections of a
// session lead to one host.
func (s *session) link(ctx context.Context, name string) (*link, error) {
	if l, ok := s.links[name]; ok && !l.conn.IsClosed() {
		return l, nil
	}
	load := s.flow.load
	if len(s.links) == 0 {
		s.host = load.anyHost(s.flow.Hosts, s.host, s.rng)
	}
	route, ok := load.doc.Route(name)
	if !ok {
		return nil, errors.Errorf("no route %q", name)
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
	l := &link{route: route, since: load.Now(), token: s.token}
	if l.conn, err = pgx.ConnectConfig(ctx, cfg); err != nil {
		// The next request tries another host.
		s.close()
		return nil, errors.Wrapf(err, "connect to %s on route %s", s.host, name)
	}
	s.links[name] = l
	return l, nil
}

func (s *session) write(ctx context.Context, l *link) error {
	load := s.flow.load
	s.seq++
	w := Write{Group: s.flow.Group, Key: s.key, Customer: s.flow.Customer, Seq: s.seq, Session: s.id, Sent: load.Now()}
	var err error
	if s.explicit {
		err = writeExplicit(ctx, l.conn, s.key, s.seq)
	} else {
		err = writeImplicit(ctx, l.conn, s.key, s.seq)
	}
	w.Done, w.Outcome = load.Now(), classify(err).outcome
	load.History.AddWrite(w)
	switch w.Outcome {
	case Served:
		s.token, s.known = l.conn.PgConn().ParameterStatus(tokenParameter), w.Sent
		l.token = s.token
		load.publish(s.flow.Group, s.key)
	case Unknown, Lost:
		s.newKey()
	}
	return err
}

// Every write sets the register of its key and appends its value to the log, so
// that a second run shows.
const (
	setRegister = "INSERT INTO kv (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = excluded.value"
	appendLog   = "INSERT INTO log (entry) VALUES ($1)"
)

func writeExplicit(ctx context.Context, conn *pgx.Conn, key string, seq int) error {
	return pgx.BeginFunc(ctx, conn, func(tx pgx.Tx) error {
		if _, err := tx.Exec(ctx, setRegister, key, valueOf(key, seq)); err != nil {
			return err
		}
		_, err := tx.Exec(ctx, appendLog, valueOf(key, seq))
		return err
	})
}

func writeImplicit(ctx context.Context, conn *pgx.Conn, key string, seq int) error {
	value := valueOf(key, seq)
	_, err := conn.Exec(ctx, "INSERT INTO kv (key, value) VALUES ('"+key+"', '"+value+"') ON CONFLICT (key) DO UPDATE SET value = excluded.value; "+
		"INSERT INTO log (entry) VALUES ('"+value+"')", pgx.QueryExecModeSimpleProtocol)
	return err
}

func (s *session) read(ctx context.Context, l *link) error {
	load := s.flow.load
	if s.token != l.token {
		if _, err := l.conn.Exec(ctx, "SET "+tokenParameter+" = '"+s.token+"'", pgx.QueryExecModeSimpleProtocol); err != nil {
			return err
		}
		l.token = s.token
	}
	if l.token == "" && !l.read {
		l.floor = l.since
	}
	r := Read{Group: s.flow.Group, Key: s.key, Session: s.id, Sent: load.Now(), Bound: l.route.Staleness.Std()}
	r.Customer, r.Known, r.KnownOwn = s.flow.Customer, s.known, max(s.known, l.floor)
	// Half of the reads of a writer ask for its own key.
	if s.seq == 0 || s.rng.IntN(2) == 0 {
		r.Key = load.anyKey(r.Group, s.rng)
	}
	var value string
	err := l.conn.QueryRow(ctx, "SELECT value FROM kv WHERE key = $1", r.Key).Scan(&value)
	if errors.Is(err, pgx.ErrNoRows) {
		err = nil
	}
	if err != nil {
		return err
	}
	l.read = true
	r.Done = load.Now()
	if value != "" {
		r.Seq = seqOf(r.Key, value)
	}
	load.History.AddRead(r)
	return nil
}
