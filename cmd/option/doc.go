// Package option holds the flags, exit codes and output formats that the
// commands share.
package option
