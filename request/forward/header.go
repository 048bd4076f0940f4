package forward

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"siskinspar.example/request/outcome"
)

// ownPrefix marks the headers that belong to the mesh.
const ownPrefix = "Siskinspar-"

var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyHeader adds the end-to-end headers of source to target, without those of the mesh itself.
func CopyHeader(target, source http.Header) {
	dropped := connectionHeaders(source)
	for name, values := range source {
		if dropped[name] || strings.HasPrefix(name, ownPrefix) {
			continue
		}
		target[name] = append(target[name], values...)
	}
}

func connectionHeaders(h http.Header) map[string]bool {
	dropped := make(map[string]bool, len(hopHeaders))
	for _, name := range hopHeaders {
		dropped[name] = true
	}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			dropped[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return dropped
}

// SetTimeout states the time that is left until a deadline, at least one millisecond.
func SetTimeout(h http.Header, left time.Duration) {
	h.Set(outcome.HeaderTimeout, strconv.FormatInt(max(1, left.Milliseconds()), 10))
}

// Timeout returns the stated time that is left, or the given bound when none or a longer one is stated.
func Timeout(h http.Header, bound time.Duration) time.Duration {
	ms, err := strconv.ParseInt(h.Get(outcome.HeaderTimeout), 10, 64)
	if err != nil || ms <= 0 || ms > bound.Milliseconds() {
		return bound
	}
	return time.Duration(ms) * time.Millisecond
}
