// Package loopback gives tests and stand-ins addresses that no other process on
// the machine listens on, also beside other runs of the same tests.
//
// A port that was free a moment ago may be taken by any connection by the time
// it is listened on. A process here claims a whole network of loopback addresses
// and gives each of them out once; the kernel binds no outgoing connection to
// them.
package loopback
