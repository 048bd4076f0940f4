// Package commit turns submissions into versions.
package commit
