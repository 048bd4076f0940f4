// Package declaration reads the services and intents that operators declare in
// YAML files, checks them individually and against each other, and holds them in
// an immutable set with a digest over its whole content.
//
// A proxy, as intents name it, is one daemon: the field proxies of an intent
// selects daemons by their labels. Comments call it a daemon.
package declaration
