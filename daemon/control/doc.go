// Package control runs the control loops of a daemon: probing, comparing
// directories, distributing versions and committing submissions.
package control
