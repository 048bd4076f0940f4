// Package forward copies requests and responses between callers, daemons and
// backend servers, as an HTTP proxy does: bodies and trailers unchanged and
// whole, headers without those of one hop and of the mesh.
//
// Small request bodies are buffered, so that a retry can send them again.
package forward
