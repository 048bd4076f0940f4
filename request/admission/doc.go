// Package admission is the admission control of one backend server, run by the daemon beside it.
//
// It decides which requests get a slot, which wait in a bounded priority queue and which are refused. It learns service
// times so that long requests leave slots to short ones and requests that would miss their deadline are refused.
//
// It serves "siskinspar daemon"; sidecar/slot is its counterpart for "siskinspar sidecar".
package admission
