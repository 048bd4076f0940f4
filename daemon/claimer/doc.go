// Package claimer runs each unrepeatable request at most once in the whole mesh. An
// attempt first writes a claim on the request's idempotency key to the platform's
// table, and the response is stored with the claim for resends.
package claimer
