// Package home serves Run streams for the backend servers whose home role this
// host holds. It owns every data connection to such a server, runs one
// transaction per stream on one of them, and checks freshness and authority
// before an answer leaves. See docs/design.md, sections 5 to 7, 11 and 13.
package home
