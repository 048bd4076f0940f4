// Package slope measures the slopes that docs/CAPACITY.md is worked out from.
package slope
