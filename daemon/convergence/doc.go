// Package convergence counts the daemons that have a version in force, and
// finds the version that a restarted daemon must not go below.
package convergence
