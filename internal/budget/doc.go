// Package budget bounds the memory that clients and other hosts can make the process
// hold. A Budget has one account for each use of memory; the limits of the accounts are
// shares of the memory limit in the settings. What needs more than SmallBytes reserves it
// from an account first. When an account is full, the holder that is largest and slowest
// by the rules of the account is closed; if there is none, the request is refused.
//
// ledger is the pure part: it decides who is closed and who is refused. Budget adds the
// lock, the clock, the counters and the log.
package budget
