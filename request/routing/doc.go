// Package routing is the client-side load balancer of the entry daemon.
//
// It picks the backend server of each call by the latencies, failures and calls
// in flight that this daemon has seen, and learns when to hedge a slow call.
//
// It serves "siskinspar daemon"; sidecar/placement is its counterpart for "siskinspar sidecar".
package routing
