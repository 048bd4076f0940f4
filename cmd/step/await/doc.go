// Package await is the step that waits until a version is in force everywhere.
package await
