// Package bandwidth limits the rate of large writes to the capacity of the outgoing
// link of an instance, so that small messages don't queue behind them on the link.
package bandwidth
