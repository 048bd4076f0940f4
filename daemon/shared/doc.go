// Package shared holds the state and the clients that the control loops of a daemon share, such as its membership,
// its configuration and its connections to the other daemons.
package shared
