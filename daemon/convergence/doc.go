// Package convergence counts the daemons that have a version in force. It also
// finds the floor of a restarted daemon from the other members.
//
// The floor is the version below which a restarted daemon must not go: the
// highest one that it may have had in force before the restart. The daemon
// refuses to put a lower version in force and is not ready before it has
// reached the floor.
package convergence
