// Package versionlog plans the next version of the configuration from the
// submissions of operators, and verifies each change before applying it to the
// state of the previous version. It does no input or output; package record
// stores the log.
package versionlog
