// Package record stores the version log in a store.Table, and large changes and
// snapshots of the whole state in store.Objects.
//
// A snapshot here is the stored versionlog.Image of one version, from which Load
// starts instead of the first change. The type Snapshot of package
// declaration/snapshot is something else: the routes of one daemon, compiled from
// the declarations and kept in memory.
package record
