// Package compare is the step that compares the declarations with those in force.
package compare
