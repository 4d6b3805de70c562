// Package home serves Run streams for the backend servers whose home role this
// host holds. The home role of a backend server belongs to one host at a time,
// its home host; each change of holder has a higher epoch. The home host owns
// all data connections to the server, so that the server's limits on connections
// and concurrent statements (slots) are enforced in one place.
//
// An entry host accepts client connections and opens one Run stream to the home
// host for each transaction, or for several pipelined ones. The package runs
// them on one connection and relays them in batches. A batch consists of the
// frontend messages up to and including Query, Sync or FunctionCall. Its answer
// consists of the backend messages up to and including ReadyForQuery.
//
// Before an answer is sent to the entry host, the package checks authority and
// freshness. A commit is confirmed by the Authority and returns a causality
// token with its position. A read on the primary is confirmed by the Authority.
// A read on a replica has to satisfy the session's floor, the token of the
// latest write that it must see, and its staleness bound.
//
// Each failure carries a verdict: NotRun if the request has certainly not taken
// effect and may be repeated, MayHaveRun otherwise. See docs/design.md, sections
// 5 to 7, 11 and 13.
package home
