// Package organisation holds the organisations of one configuration version, and
// finds the organisation that a request belongs to by its API key.
//
// Keys are secrets. No method returns one and no error contains one, so that a key
// reaches neither the log nor the metrics of a daemon.
package organisation
