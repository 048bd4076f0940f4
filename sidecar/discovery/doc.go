// Package discovery finds the other daemons of the mesh, and newer versions of
// the configuration.
//
// A Follower reads the changes of one table of the store. A Prober exchanges
// probes with every known daemon, and fetches from it a newer configuration or
// addresses of daemons that the store did not yet show.
//
// Freshness is what both know of the age of the configuration in force. It is
// known to be the newest as of a call that the store answered at once, and as of
// the age that another daemon without a newer one states. A call that waits at
// the store proves nothing: its response may be lost. So the Follower asks the
// store beside it when the age grows.
package discovery
