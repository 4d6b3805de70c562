package dbconn

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
)

// Limits that bound the time until a silent connection is detected: the TCP
// keep-alive interval, and the TCP user timeout for sent data that is not
// acknowledged.
const (
	keepAlivePeriod = 2 * time.Second
	tcpUserTimeout  = 4 * time.Second
)

// Role is the role that a backend server reports for itself.
type Role string

// Roles of a backend server.
const (
	Primary  Role = "primary"
	Replica  Role = "replica"
	Detached Role = "detached"
)

// Status is the status that a backend server reports for itself.
type Status struct {
	Server string
	Term   uint64
	Role   Role
	// Position is the log position of the last local commit on a primary, or
	// the applied log position on a replica.
	Position uint64
	// MajorityPosition is, on a primary, the highest log position that a majority
	// of the group has stored in the primary's own term.
	MajorityPosition uint64
	// ReceivedPosition is the highest log position that the server has stored,
	// applied or not. It is set only by Fence.
	ReceivedPosition uint64
	// Connections is the number of open client connections.
	Connections int
}

// Credentials holds the proxy's own credentials for backend servers.
type Credentials struct {
	User     string
	Password string
	Database string
	// Dial replaces the TCP dialer in tests that simulate network conditions.
	// The default is a dialer with keep-alive and user timeout.
	Dial pgconn.DialFunc
}

// Conn is one connection to a backend server.
type Conn struct {
	pg *pgconn.PgConn
}

// Dial connects to the backend server at address, which has the form host:port,
// and sets the application_name of the connection.
func Dial(ctx context.Context, address string, cred Credentials, applicationName string) (*Conn, error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrapf(err, "parse backend address %q", address)
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, errors.Wrapf(err, "parse backend port %q", portText)
	}
	cfg, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, errors.Wrap(err, "create default connection settings")
	}
	cfg.Host, cfg.Port = host, uint16(port)
	cfg.User, cfg.Password, cfg.Database = cred.User, cred.Password, cred.Database
	cfg.RuntimeParams = map[string]string{"application_name": applicationName}
	cfg.Fallbacks = nil
	dialer := &net.Dialer{KeepAlive: keepAlivePeriod, Control: setTCPUserTimeout}
	cfg.DialFunc = dialer.DialContext
	if cred.Dial != nil {
		cfg.DialFunc = cred.Dial
	}
	pg, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", address)
	}
	return &Conn{pg: pg}, nil
}

// Hijack returns the raw connection. The Conn must not be used afterwards.
//
// After a slow write, pgconn leaves a background read running, which would
// consume the first answer on the raw connection. SyncConn stops it.
func (c *Conn) Hijack(ctx context.Context) (*pgconn.HijackedConn, error) {
	if err := c.pg.SyncConn(ctx); err != nil {
		return nil, errors.Wrap(err, "stop background read")
	}
	return c.pg.Hijack()
}

// Close closes the connection without waiting for the backend server.
func (c *Conn) Close() error { return c.pg.Conn().Close() }

// MarkColumn is the name of the first column of the answer to each call of the
// contract. No answer to a client's statement has a column of this name.
const MarkColumn = "cranberryhinge_exchange"

// Mark identifies one call. Its answer repeats the mark, because answers are matched
// to calls by their order only, and a server may send an answer more than once.
type Mark uint64

// NewMark returns a mark that no other call uses.
func NewMark() Mark { return Mark(rand.Uint64() >> 1) }

// Text returns the mark as it appears in a call and in its answer.
func (m Mark) Text() string { return strconv.FormatUint(uint64(m), 10) }

// ErrForeignAnswer is returned when an answer does not belong to the call. The call
// may have run, and the connection cannot be used any more.
var ErrForeignAnswer = errors.New("the answer belongs to another call")

// StatusQuery returns the text of the status query with the mark. Its answer is one row,
// which ParseStatus decodes.
func StatusQuery(m Mark) string { return callText(m, "* FROM cranberryhinge.status()") }

// callText returns a SELECT of the mark and of the expression.
func callText(m Mark, expression string) string {
	return "SELECT " + m.Text() + " AS " + MarkColumn + ", " + expression
}

// Status queries the status of the backend server.
func (c *Conn) Status(ctx context.Context) (Status, error) {
	return c.queryStatus(ctx, "* FROM cranberryhinge.status()", statusColumns)
}

// Fence makes the backend server adopt the term and reject lower ones. It
// returns the server's status.
func (c *Conn) Fence(ctx context.Context, term uint64) (Status, error) {
	return c.queryStatus(ctx, fmt.Sprintf("* FROM cranberryhinge.fence(%d)", term), fenceColumns)
}

// Promote makes the backend server the primary of a term that it has adopted.
func (c *Conn) Promote(ctx context.Context, term uint64) error {
	return c.exec(ctx, fmt.Sprintf("cranberryhinge.promote(%d)", term))
}

// Follow makes the backend server replicate from the named primary in the term.
func (c *Conn) Follow(ctx context.Context, term uint64, primary string) error {
	return c.exec(ctx, fmt.Sprintf("cranberryhinge.follow(%d, '%s')", term, strings.ReplaceAll(primary, "'", "''")))
}

// Evict closes the data connections of role epochs lower than epoch.
func (c *Conn) Evict(ctx context.Context, epoch uint64) error {
	return c.exec(ctx, fmt.Sprintf("cranberryhinge.evict(%d)", epoch))
}

func (c *Conn) exec(ctx context.Context, expression string) error {
	_, err := c.call(ctx, expression)
	return err
}

// call selects the expression with a mark. It returns the row without the mark.
func (c *Conn) call(ctx context.Context, expression string) ([][]byte, error) {
	m := NewMark()
	results, err := c.pg.Exec(ctx, callText(m, expression)).ReadAll()
	if err != nil {
		return nil, errors.Wrap(err, expression)
	}
	if len(results) != 1 || len(results[0].Rows) != 1 {
		return nil, errors.Wrapf(ErrForeignAnswer, "%s: not one result with one row", expression)
	}
	row, err := m.Strip(results[0].Rows[0])
	return row, errors.Wrap(err, expression)
}

func (c *Conn) queryStatus(ctx context.Context, expression string, columns int) (Status, error) {
	row, err := c.call(ctx, expression)
	if err != nil {
		return Status{}, err
	}
	if len(row) != columns {
		return Status{}, errors.Errorf("%s: row has %d columns instead of %d", expression, len(row), columns)
	}
	return parseStatus(row)
}

// Strip returns the row without its first column. It returns ErrForeignAnswer if that
// column does not hold the mark.
func (m Mark) Strip(row [][]byte) ([][]byte, error) {
	if len(row) == 0 || string(row[0]) != m.Text() {
		return nil, ErrForeignAnswer
	}
	return row[1:], nil
}

// Numbers of columns of a status row, without and with the received position.
const (
	statusColumns = 6
	fenceColumns  = 7
)

// ParseStatus decodes the row of text values that answers StatusQuery with the mark.
// It returns ErrForeignAnswer if the row has another mark.
func ParseStatus(m Mark, row [][]byte) (Status, error) {
	row, err := m.Strip(row)
	if err != nil {
		return Status{}, err
	}
	if len(row) != statusColumns {
		return Status{}, errors.Errorf("status row has %d columns instead of %d", len(row), statusColumns)
	}
	return parseStatus(row)
}

// parseStatus decodes a status row of at least statusColumns columns: server,
// term, role, position, held (MajorityPosition), connections and, in the answer
// to Fence, received (ReceivedPosition).
func parseStatus(row [][]byte) (Status, error) {
	s := Status{Server: string(row[0]), Role: Role(row[2])}
	numbers := []struct {
		column int
		target *uint64
	}{{1, &s.Term}, {3, &s.Position}, {4, &s.MajorityPosition}, {6, &s.ReceivedPosition}}
	for _, n := range numbers {
		if n.column >= len(row) {
			continue
		}
		v, err := strconv.ParseUint(string(row[n.column]), 10, 64)
		if err != nil {
			return Status{}, errors.Wrapf(err, "parse status column %d", n.column)
		}
		*n.target = v
	}
	count, err := strconv.Atoi(string(row[5]))
	if err != nil {
		return Status{}, errors.Wrap(err, "parse number of connections in status row")
	}
	s.Connections = count
	return s, nil
}
