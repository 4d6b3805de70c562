package standin

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// SQLSTATE codes of error responses, under the condition names of PostgreSQL.
const (
	codeProtocolViolation            = "08P01"
	codeFeatureNotSupported          = "0A000"
	codeInvalidPassword              = "28P01"
	codeInsufficientPrivilege        = "42501"
	codeInvalidTextRepresentation    = "22P02"
	codeUniqueViolation              = "23505"
	codeReadOnlyTransaction          = "25006"
	codeInFailedTransaction          = "25P02"
	codeInvalidStatementName         = "26000"
	codeInvalidCursorName            = "34000"
	codeSerializationFailure         = "40001"
	codeSyntaxError                  = "42601"
	codeUndefinedObject              = "42704"
	codeTooManyConnections           = "53300"
	codeObjectNotInPrerequisiteState = "55000"
	codeQueryCanceled                = "57014"
	codeAdminShutdown                = "57P01"
)

// sqlError is an error that is sent to the client.
type sqlError struct {
	code    string
	message string
}

func (e *sqlError) Error() string { return e.code + ": " + e.message }

func sqlErrorf(code, format string, args ...any) *sqlError {
	return &sqlError{code: code, message: fmt.Sprintf(format, args...)}
}

func (e *sqlError) errorResponse(severity string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: e.code, Message: e.message,
	}
}
