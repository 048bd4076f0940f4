// Package core holds the objects that the parts of one daemon share, and the HTTP server of their listeners.
package core
