// Package declaration reads the operators' declarations, checks them as a
// whole and keeps them as an immutable set with one digest.
package declaration
