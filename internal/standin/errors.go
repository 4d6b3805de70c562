package standin

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// SQLSTATEs that the stand-in answers.
const (
	codeProtocolViolation = "08P01"
	codeUnsupported       = "0A000"
	codeBadPassword       = "28P01"
	codePrivilege         = "42501"
	codeInvalidText       = "22P02"
	codeUniqueViolation   = "23505"
	codeReadOnly          = "25006"
	codeFailedTransaction = "25P02"
	codeNoStatement       = "26000"
	codeNoCursor          = "34000"
	codeSerialization     = "40001"
	codeSyntax            = "42601"
	codeUndefinedObject   = "42704"
	codeTooMany           = "53300"
	codeWrongState        = "55000"
	codeCanceled          = "57014"
	codeShutdown          = "57P01"
)

// sqlError is an error that is answered to the client.
type sqlError struct {
	code    string
	message string
}

func (e *sqlError) Error() string { return e.code + ": " + e.message }

func failf(code, format string, args ...any) *sqlError {
	return &sqlError{code: code, message: fmt.Sprintf(format, args...)}
}

func (e *sqlError) response(severity string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: e.code, Message: e.message,
	}
}
