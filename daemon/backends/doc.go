// Package backends keeps the backend servers that have announced themselves to
// the daemon beside them.
package backends
