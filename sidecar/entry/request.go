package entry

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/owner"
	"siskinspar.example/sidecar/slot"
)

// fingerprint returns a hash of the caller, method, host, target and body of a request, as 16 hexadecimal digits.
// Retries of a request by its client have the same fingerprint, since the request ID is left out.
func fingerprint(q message.Request) string {
	d := xxhash.New()
	_, _ = d.WriteString(q.Caller + "\n" + q.Method + "\n" + q.Host + "\n" + q.Target + "\n")
	_, _ = d.Write(q.Body)
	return fmt.Sprintf("%016x", d.Sum64())
}

// isWithoutSlot reports whether an owner refused a request only because it had no slot for it: none was free, or the
// grant of a slot had expired. It compares the text of the reason, which the owner sent.
func isWithoutSlot(reason string) bool {
	return reason == string(slot.ReasonBusy) || reason == string(slot.ReasonGrantExpired)
}

// isRejected reports whether the backend server itself answered that it did not run the request. It compares the text
// of the reason, which the owner sent.
func isRejected(r message.Reply) bool { return r.Reason == owner.ReasonRejected }
