// Package slot is the admission control of one backend server: it decides which
// requests run, which wait in its queue and which are refused. It serves
// `siskinspar sidecar`; package request/admission does the same for package
// daemon.
//
// A slot is the permission to run one request at the backend server. An entry
// daemon reserves a slot for a request; the owner grants it with a ticket, which
// identifies the grant; the call of the request claims the granted slot; a grant
// that is not claimed in time expires, which frees the slot. A request takes the
// first of the grants that it gets from several owners, so slots are granted
// beyond their number by the share of grants that are not claimed.
//
// The package handles short load peaks and sustained overload: work that can
// still meet its target goes before work that is late, and a request that can't
// be answered in time is refused on arrival. The package reads no clock and takes
// no locks: package owner passes the current time in and serialises the calls.
package slot
