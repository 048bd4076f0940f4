// Package owner runs requests at the one backend server beside the daemon.
//
// The daemon is called the owner of this backend server. Entry daemons send their
// requests to it, and no other process sends requests to the server, so that
// slots, connections and drains are decided in one place.
//
// The owner refuses a request if it has no slot for it in time or the backend
// server is not the one that the request names, drains or can't be reached: the
// request has not reached the backend server, so an entry daemon may send it
// elsewhere without a charge to the retry budget. The backend server rejects a
// request if it answers that it did not run it (Headers.IsNotRun): sending such a
// request elsewhere is charged to the retry budget, since the request reached a
// backend server.
package owner
