// Package await is the step that waits until a version is in force on every
// reachable daemon.
package await
