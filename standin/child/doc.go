// Package child runs the processes of tests, soaks and measurements.
//
// A child ends with its parent, however that ends, also if the child is
// suspended. It counts as started once it says so in its own output, so that
// another process that answers at its address is not taken for it. One that ends
// at its start is an error with its arguments and its output.
package child
