// Package entry handles the requests of the clients on the daemon's own machine.
//
// For each request it finds the route, selects a backend server and sends the
// request to the daemon beside that server, called the owner. It reserves a slot
// where none is free, retries a failed request only where that is safe and
// within the retry budget, and answers with an error when no attempt succeeds.
// Package owner says how a refusal by the owner differs from a rejection by the
// backend server.
package entry
