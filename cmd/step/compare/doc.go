// Package compare is the step that compares the wanted declarations with those in
// force.
package compare
