package forward

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"siskinspar.example/request/outcome"
)

// meshPrefix starts the names of the headers that only the mesh sets.
const meshPrefix = "Siskinspar-"

// hopByHopHeaders are the headers that a proxy must not forward. The Connection header can name further ones.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyHeader adds the headers of source to target, except hop-by-hop headers and those of the mesh.
func CopyHeader(target, source http.Header) {
	dropped := hopByHopNames(source)
	for name, values := range source {
		if dropped[name] || strings.HasPrefix(name, meshPrefix) {
			continue
		}
		target[name] = append(target[name], values...)
	}
}

// hopByHopNames returns the names of the hop-by-hop headers of a message, including those that Connection names.
func hopByHopNames(h http.Header) map[string]bool {
	dropped := make(map[string]bool, len(hopByHopHeaders))
	for _, name := range hopByHopHeaders {
		dropped[name] = true
	}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			dropped[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return dropped
}

// SetTimeout sets outcome.HeaderTimeout to the time left until a deadline, at least one millisecond.
func SetTimeout(h http.Header, left time.Duration) {
	h.Set(outcome.HeaderTimeout, strconv.FormatInt(max(1, left.Milliseconds()), 10))
}

// Timeout returns the time in outcome.HeaderTimeout, or bound if it is missing, invalid or longer than bound.
func Timeout(h http.Header, bound time.Duration) time.Duration {
	ms, err := strconv.ParseInt(h.Get(outcome.HeaderTimeout), 10, 64)
	if err != nil || ms <= 0 || ms > bound.Milliseconds() {
		return bound
	}
	return time.Duration(ms) * time.Millisecond
}
