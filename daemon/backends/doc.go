// Package backends holds the table of the backend servers that have announced
// themselves to the daemon beside them, with their limits, health and drains.
package backends
