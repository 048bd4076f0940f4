// Package versionlog decides which submissions become the next version and
// verifies each change against the state that it builds on.
package versionlog
