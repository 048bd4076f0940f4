// Package store states what the product needs of a store that outlives every
// instance: a transactional table and objects, and the outcomes of their calls.
package store
