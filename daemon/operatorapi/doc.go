// Package operatorapi defines the messages of the operator listener and a
// client for them.
package operatorapi
