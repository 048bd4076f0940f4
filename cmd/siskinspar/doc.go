// Command siskinspar contains the daemon, the operators' commands, and the stand-ins
// and trials, in one binary.
package main
