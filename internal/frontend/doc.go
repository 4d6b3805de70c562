// Package frontend serves client sessions at their entry host, the host that the
// client is connected to. It authenticates the client by its key, applies the
// customer's rate limit, keeps session values, prepared statements and the open
// transaction, and sends statements to the home host of a backend server, the host
// that keeps the connections to this server.
//
// For each read at a replica it derives the floor, the log position that the replica
// must have applied for the guarantee of the route to hold. It retries a statement
// only when the statement has not run or only reads.
package frontend
