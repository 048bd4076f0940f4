// Package outcome defines how a daemon reports whether a request ran and why it
// failed, to other daemons and to the caller: outcomes, reasons, their HTTP
// status, and the headers that carry them.
package outcome
