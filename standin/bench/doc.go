// Package bench measures the request path under load and faults against
// baselines, at the sizes of both deployments.
package bench
