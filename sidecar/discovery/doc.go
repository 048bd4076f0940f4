// Package discovery finds the other daemons through the store, follows the
// configuration there, and exchanges probes with the daemons that it found.
package discovery
