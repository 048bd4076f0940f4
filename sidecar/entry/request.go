package entry

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/owner"
	"siskinspar.example/sidecar/slot"
)

// Fingerprint identifies a request by its caller, method, target and body, whatever its ID.
func Fingerprint(q message.Request) string {
	d := xxhash.New()
	_, _ = d.WriteString(q.Caller + "\n" + q.Method + "\n" + q.Host + "\n" + q.Target + "\n")
	_, _ = d.Write(q.Body)
	return fmt.Sprintf("%016x", d.Sum64())
}

func isBusy(reason string) bool {
	return reason == string(slot.ReasonBusy) || reason == string(slot.ReasonLapsed)
}

// isRejected reports whether the backend server itself turned the request away.
func isRejected(r message.Reply) bool { return r.Reason == owner.ReasonRejected }
