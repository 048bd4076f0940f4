// Package slot decides which requests run at one backend server, which wait and
// which are refused. It answers short crests and sustained overload: work that
// can still meet its target goes before work that is late, and a request that
// can't be answered in time is refused on arrival. It is pure: the shell passes
// the time in and serialises the calls.
package slot
