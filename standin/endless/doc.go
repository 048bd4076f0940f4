// Package endless stands in for a server in trouble that sends bytes without end,
// in a head or in a body, until its caller closes the connection.
package endless
