// Package slope provides the fixtures and benchmarks that measure the figures in docs/capacity.json.
//
// Each benchmark runs at several sizes; package capacity fits a line through them and extrapolates to the planned
// size of the mesh.
package slope
