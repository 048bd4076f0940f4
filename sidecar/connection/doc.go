// Package connection wraps the TCP connections of a daemon, so that the bytes that
// arrived before a read deadline are read even if the process got no processor
// time to read them in time.
package connection
