// Package change runs the steps of an operator's change to the declarations in order,
// such as reading, comparing and submitting them, and holds the state that they share.
package change
