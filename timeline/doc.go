// Package timeline records typed events of one instance, stamped with a hybrid
// logical clock, and merges those of many instances in causal order.
package timeline
