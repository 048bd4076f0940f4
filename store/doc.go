// Package store declares the interfaces of the durable store that all instances
// share, a transactional table and an object store, and the error that their
// calls return. Package platform/rowstore implements them.
package store
