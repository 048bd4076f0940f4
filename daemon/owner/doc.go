// Package owner serves the calls that entry daemons forward to the daemon beside
// a backend server, the owner of that server. It admits each call to a slot of the
// server and sends it to the server at most once.
package owner
