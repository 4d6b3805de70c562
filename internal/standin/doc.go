// Package standin is a stand-in database server for tests and measurements. It
// speaks PostgreSQL v3, understands a small SQL subset and implements the
// database contract of docs/design.md, section 3.2: terms, log positions,
// asynchronous replication, fencing and promotion.
//
// A database keeps its log in memory. Kill and Restart keep the log, as a disk
// would. The end of the process loses it unless the settings name a journal.
package standin
