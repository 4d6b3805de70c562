package store

const (
	// maxSkippedKeys bounds the number of rows that SkippedRows remembers.
	maxSkippedKeys = 256
	// maxLoggedBytes bounds a key or a reason in a log line.
	maxLoggedBytes = 200
)

// SkippedRows remembers the rows that could not be decoded, so that each revision is
// reported once and not whenever the row is read again. The zero value is ready for use.
// It is not safe for concurrent use.
type SkippedRows struct{ revisions map[string]Revision }

// IsNew reports whether the revision of a row has not been reported yet, and remembers it.
func (s *SkippedRows) IsNew(key string, rev Revision) bool {
	if known, ok := s.revisions[key]; ok && known == rev {
		return false
	}
	if s.revisions == nil || len(s.revisions) >= maxSkippedKeys {
		s.revisions = map[string]Revision{}
	}
	s.revisions[key] = rev
	return true
}

// LogFields returns the key and the reason for a log line. Both are bounded, because
// another program has written the row.
func (r SkippedRow) LogFields() (key, reason string) { return truncate(r.Key), truncate(r.Err.Error()) }

func truncate(text string) string { return text[:min(len(text), maxLoggedBytes)] }
