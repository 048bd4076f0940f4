// Package trial defines the commands for trials: stand-ins, load and demo.
package trial
