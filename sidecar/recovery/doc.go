// Package recovery keeps a panic in the work on one request from ending the
// process, which serves many others.
package recovery
