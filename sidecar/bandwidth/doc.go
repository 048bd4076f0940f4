// Package bandwidth spreads large writes over the outgoing link of an instance,
// so that small messages don't wait behind them on the wire.
package bandwidth
