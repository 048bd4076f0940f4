// Package snapshot compiles a set of declarations into the route table of one
// daemon, which holds the intents that select the daemon by its labels.
//
// A Snapshot lives in the memory of its daemon only. The snapshots of package
// versionlog/record are something else: the declarations of one version with
// their origins, whole and not compiled, in the shared object store.
package snapshot
