// Package change holds what the steps of an operator's change share, and runs
// them in order.
package change
