// Package routing chooses the backend server of a call from the entry daemon's
// own observations.
package routing
