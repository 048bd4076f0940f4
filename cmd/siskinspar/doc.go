// Command siskinspar is the daemon, its stand-ins and its operators' tools in
// one binary.
package main
