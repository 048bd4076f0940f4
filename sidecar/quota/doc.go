// Package quota bounds the requests of an organisation over all daemons together.
//
// One daemon, the coordinator, keeps the token bucket of an organisation and leases
// tokens to the entry daemons, which spend one for each request. Leased tokens
// expire soon: what was leased before a span of time and is spent in it is bounded
// by their lifetime, so that the bound holds in each span. An entry daemon leases
// what its recent requests will need until then. When the bucket is empty, each
// entry daemon gets an equal part of what flows in, in the order in which they were
// refused.
//
// An entry daemon that gets no reply from the coordinator spends from a bucket of
// its own with an equal part of the quota. In turn the coordinator leases only the
// part of the quota that belongs to the daemons it reaches. A daemon that becomes
// the coordinator takes over the tokens from the one before, or begins with few if
// that one is gone.
//
// The load that the package answers: one organisation sends several times its
// quota, through all daemons at once, for seconds, while the others send about half
// of theirs, many of them less than one request a second through each daemon.
//
// The package reads no clock, sends no messages and takes no locks.
package quota
