// Package capacity works out what the design costs at the size of the plan from
// slopes that were measured, and renders docs/CAPACITY.md from them.
package capacity
