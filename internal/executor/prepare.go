package executor

import (
	"crypto/sha256"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/guard"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// runStatement runs the client's statement. It retries the statement while the server
// has no free slot, or if the prepared statement that it executes is missing on the
// connection.
func (c *call) runStatement(tx *transaction, inTx bool) (statement.Result, error) {
	for try := 0; ; try++ {
		if err := c.prepareConn(tx); err != nil {
			return statement.Result{}, err
		}
		results, err := c.exchangeCounted(tx, c.newCommand(tx, inTx))
		if err != nil {
			return statement.Result{}, err
		}
		r := results[0]
		again := r.Err != nil && try < maxBusyRetries && c.canRetry(tx, inTx, r)
		if !again || c.x.opt.Clock()+busyRetryDelay >= c.deadline {
			if r.Err != nil && r.Err.Reason == verdict.UnknownStatement {
				// The unknown name is that of the host, not one that the client has prepared.
				r.Err = verdict.New(r.Err.Verdict, verdict.ConnectionLost, "backend server %s has lost a prepared statement", tx.pool.server.Name)
			}
			return r, nil
		}
		c.x.opt.Counters.CountRetry(r.Err.Reason)
		if r.Err.Reason == verdict.ServerBusy {
			time.Sleep(busyRetryDelay << try)
		}
		if !inTx && tx.primary {
			if err := c.replaceConn(tx); err != nil {
				return statement.Result{}, err
			}
		}
	}
}

// replaceConn gives the request another connection. On the same one, a second error could
// be a repetition of the first, so that it would not show that a write has not run.
// If it returns an error, tx has none or one that is to be closed.
func (c *call) replaceConn(tx *transaction) error {
	c.finish(tx, false)
	var err error
	if tx.requestID, tx.conn, err = c.acquire(tx.pool); err != nil {
		return err
	}
	return c.checkConn(tx)
}

// exchangeCounted is exchange for the client's statement. It counts the request of a
// statement outside a transaction, or of the first one inside, unless the server did not
// run it.
func (c *call) exchangeCounted(tx *transaction, cmd statement.Command) ([]statement.Result, error) {
	if c.req.GetTransaction() != 0 {
		return c.exchange(tx, cmd)
	}
	ticket := c.x.opt.Usage.Begin(c.req.GetCustomer())
	results, err := c.exchange(tx, cmd)
	if err != nil && verdict.From(err).Verdict == verdict.NotRun ||
		err == nil && results[0].Err != nil && results[0].Err.Verdict == verdict.NotRun {
		c.x.opt.Usage.NotRun(ticket)
	}
	return results, err
}

// canRetry reports whether the statement did not run and can be retried on the same
// connection.
func (c *call) canRetry(tx *transaction, inTx bool, r statement.Result) bool {
	want := statement.Idle
	if inTx {
		want = statement.InTransaction
	}
	if r.State != want {
		return false
	}
	switch r.Err.Reason {
	case verdict.ServerBusy:
		return true
	case verdict.UnknownStatement:
		c.x.opt.Log.Info().Str("id", c.req.GetId()).Str("server", tx.pool.server.Name).Uint64("connection", tx.conn.Number()).
			Str("name", c.prepared.name).Msg("prepared statement missing")
		clear(tx.conn.prepared)
		return true
	}
	return false
}

// newCommand returns the client's statement as a command for the connection. A read whose
// BEGIN may have failed requires the log position, too.
func (c *call) newCommand(tx *transaction, inTx bool) statement.Command {
	kind := statement.Kind(c.req.GetKind())
	cmd := statement.Command{Statement: statement.Statement{ID: c.req.GetId(), Kind: kind, Text: c.req.GetText()}}
	if kind == statement.Execute {
		cmd.Name, cmd.Arguments = c.prepared.name, c.req.GetArguments()
	}
	isRead := kind == statement.Read || kind == statement.Execute && !c.req.GetShapeWrites()
	if isRead && (!inTx || tx.beginUnconfirmed) {
		cmd.Floor = c.requireFloor(tx)
	}
	return cmd
}

// preparedStatement is the prepared statement that a request executes.
type preparedStatement struct {
	shape statement.Shape
	// digest is the digest of the shape's text, name the name on backend connections.
	digest statement.Digest
	name   string
}

func newPreparedStatement(s statement.Shape) preparedStatement {
	prefix := "r"
	if s.Writes {
		prefix = "w"
	}
	digest := statement.Digest(sha256.Sum256([]byte(s.Text)))
	return preparedStatement{shape: s, digest: digest, name: statement.BackendName(prefix, digest)}
}

// prepareConn sets the session values of the request on the connection, and prepares
// the statement that the request executes, if any. A connection with values that the
// session has not set is reset first.
func (c *call) prepareConn(tx *transaction) error {
	if cause := c.resetCause(tx.conn); cause != "" {
		if err := c.resetConn(tx, c.deadline, cause); err != nil {
			return verdict.New(verdict.NotRun, verdict.ConnectionLost, "reset the connection: %v", err)
		}
	}
	commands, recordSetup := c.setupCommands(tx.conn)
	preparedBefore := len(tx.conn.prepared)
	if len(commands) > 0 {
		if err := c.runSetup(tx, commands); err != nil {
			return err
		}
		recordSetup()
		tx.valuesSet = tx.valuesSet || len(c.req.GetValues()) > 0
	}
	if statement.Kind(c.req.GetKind()) == statement.Execute {
		c.logPrepared(tx, len(tx.conn.prepared) > preparedBefore)
	}
	return nil
}

// runSetup runs commands that set session values or prepare statements.
func (c *call) runSetup(tx *transaction, commands []statement.Command) error {
	results, err := c.exchange(tx, commands...)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.From(err).Reason, "prepare the connection: %v", err)
	}
	for _, r := range results {
		if r.Err != nil {
			return verdict.New(verdict.NotRun, verdict.ConnectionLost, "prepare the connection: %v", r.Err)
		}
	}
	return nil
}

// Causes of resets, for logs and counters.
const (
	resetForeignValues   = "foreign_values"
	resetUncertainValues = "uncertain_values"
	resetPreparedLimit   = "prepared_limit"
	resetProbe           = "probe"
)

// resetCause returns why the connection must be reset before the request uses it: it has
// session values that the request does not set, or may have, or too many prepared
// statements. It is empty if no reset is needed.
func (c *call) resetCause(conn *conn) string {
	if guard.Enabled(guard.Values) {
		if conn.valuesUncertain {
			return resetUncertainValues
		}
		for name := range conn.values {
			if _, ok := c.req.GetValues()[name]; !ok {
				return resetForeignValues
			}
		}
	}
	if len(conn.prepared) > maxPrepared {
		return resetPreparedLimit
	}
	return ""
}

// resetConn drops the session values and prepared statements of the connection.
func (c *call) resetConn(tx *transaction, deadline time.Duration, cause string) error {
	err := tx.conn.Reset(c.socketDeadline(deadline))
	c.x.opt.Counters.Add("backend_connections_reset_"+cause, 1)
	c.x.opt.Log.Info().Str("id", c.req.GetId()).Str("server", tx.pool.server.Name).Uint64("connection", tx.conn.Number()).
		Str("cause", cause).Err(err).Msg("backend connection reset")
	if err == nil {
		tx.conn.clearState()
	}
	return err
}

// logPrepared logs which prepared statement the request executes on the connection, and
// whether it was prepared there for this request.
func (c *call) logPrepared(tx *transaction, added bool) {
	c.x.opt.Log.Info().Str("id", c.req.GetId()).Str("server", tx.pool.server.Name).Uint64("connection", tx.conn.Number()).
		Str("name", c.prepared.name).Hex("shape_sha256", c.prepared.digest[:]).Int("shape_bytes", len(c.prepared.shape.Text)).
		Bool("added", added).Msg("prepared statement chosen")
}

// setupCommands returns the commands that set the missing session values and prepare
// the missing statement on the connection, and a function that records their effect
// after they succeeded.
func (c *call) setupCommands(conn *conn) (commands []statement.Command, recordSetup func()) {
	for name, value := range c.req.GetValues() {
		if old, ok := conn.values[name]; !ok || old != value {
			commands = append(commands, statement.Command{Statement: statement.Statement{Kind: statement.Set, Name: name, Arguments: value}})
		}
	}
	missing := statement.Kind(c.req.GetKind()) == statement.Execute && !conn.prepared[c.prepared.name]
	if missing {
		commands = append(commands, statement.Command{Statement: statement.Statement{Kind: statement.Prepare, Name: c.prepared.name, Shape: c.prepared.shape}})
	}
	return commands, func() {
		for n, v := range c.req.GetValues() {
			conn.values[n] = v
		}
		if missing {
			conn.prepared[c.prepared.name] = true
		}
	}
}
