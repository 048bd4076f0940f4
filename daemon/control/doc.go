// Package control runs the control loops of a daemon: probing members,
// comparing membership records, distributing configuration versions and committing
// submissions. It also serves the remote methods that other daemons call.
package control
