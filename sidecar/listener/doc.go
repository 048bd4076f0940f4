// Package listener accepts TCP connections until it is stopped.
package listener
