// Package option holds what the commands share: flags, exit codes, output formats, and
// the client of the operator listener.
package option
