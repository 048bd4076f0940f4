// Package exchange joins the decisions of package quota to the calls between daemons.
//
// An Entry admits the requests of clients and asks coordinators for tokens. A
// Coordinator answers such calls. If the daemon that should coordinate does not
// reply, an Entry asks the next one, which checks that itself before it takes over.
// Neither holds its lock during a call to another daemon.
package exchange
