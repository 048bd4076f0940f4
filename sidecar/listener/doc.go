// Package listener accepts connections until it is told to stop.
package listener
