// Package standin implements a stand-in database server for tests and
// measurements. It implements the PostgreSQL v3 protocol, supports a small SQL
// subset on the tables kv and log, and implements the database contract of
// docs/design.md, section 3.2: terms, log positions, asynchronous replication,
// fencing and promotion.
//
// Each promotion opens a new term with a log entry of its own. A log position
// orders entries by term and then by index, so that entries of an older term
// rank below those of a newer one. A fenced database has adopted a higher term
// and is detached: it neither commits nor replicates until it is promoted or
// follows a primary of that term or a higher one.
//
// A data statement occupies one of a limited number of slots while it runs. A
// silent connection stays open but delivers nothing in either direction.
//
// A database keeps its log in memory. The log survives Kill and Restart, as it
// would on a disk. It is lost when the process ends, unless the settings name a
// journal.
package standin
