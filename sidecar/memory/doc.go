// Package memory bounds the memory that the bodies of requests and answers take
// while they are read.
//
// A sender in trouble may send without end. Each body has a largest size, and all
// bodies of a process share one budget, so that several such senders together
// can't exhaust the memory of the instance either.
package memory
