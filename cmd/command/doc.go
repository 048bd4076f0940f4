// Package command defines the command line of siskinspar: the root command in root.go, and the commands for daemons and
// operators, each in a file of its own.
package command
