// Package operatorapi defines the JSON messages of the operator listener and a client that exchanges them.
package operatorapi
