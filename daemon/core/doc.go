// Package core holds what the parts of one daemon share.
package core
