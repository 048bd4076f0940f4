// Package command defines the commands of siskinspar, one to a file.
package command
