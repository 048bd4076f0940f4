// Package control is the part that runs the control loops.
package control
