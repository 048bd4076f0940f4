// Package backend is a stand-in for a backend server: it answers with what it
// was sent, counts every execution and misbehaves on request.
package backend
