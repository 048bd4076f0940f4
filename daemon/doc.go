// Package daemon wires the parts of one siskinspar daemon.
package daemon
