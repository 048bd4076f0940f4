// Package capacity calculates what each part of the design costs at the planned size and renders docs/CAPACITY.md.
//
// The costs follow from figures that the benchmarks of package slope measure at smaller sizes.
package capacity
