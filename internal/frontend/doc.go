// Package frontend serves callers' sessions at their entry host: it checks keys
// and rates, keeps session values, prepared statements and the open transaction,
// derives the floor of each read, and sends statements to the home host of a
// backend server. It repeats a statement only when it has not run, or when it
// only reads.
package frontend
