// Package directory keeps the membership records in the rosters of all daemons
// equal by anti-entropy: it compares digests with another daemon and exchanges the
// records that differ.
package directory
