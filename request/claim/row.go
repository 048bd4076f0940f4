package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"siskinspar.example/store"
)

const (
	// Lifetime is how long a claim and its response are valid; afterwards the key may be used for another request.
	Lifetime = 24 * time.Hour
	// MaximumKeyLength is the largest length in bytes of the caller's idempotency key.
	MaximumKeyLength = 256
	// MaximumBodySize is the largest size in bytes of the body of an unrepeatable request.
	MaximumBodySize = 1 << 20
	// MaximumAnswerSize is the largest size in bytes of a response body that is stored.
	MaximumAnswerSize = 16 << 20
	// MaximumInlineAnswerSize is the largest size in bytes of a response body that is stored in the row itself.
	MaximumInlineAnswerSize = 32 << 10
	// partitionCount is the number of table partitions over which claims are spread.
	partitionCount = 64
)

// Token identifies one attempt to run a request; each attempt has its own.
type Token string

// Answer is the whole response of a backend server, as it is stored for resends of the request.
type Answer struct {
	// Status is the HTTP status.
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	// Body is empty in a stored response whose body is in an object.
	Body []byte `json:"body,omitempty"`
	// Object names the object that holds a body larger than MaximumInlineAnswerSize.
	Object string `json:"object,omitempty"`
}

// Row is the claim of one key in the platform's table.
type Row struct {
	// Token is the attempt that holds the claim.
	Token Token `json:"token"`
	// Holder is the instance whose daemon makes the attempt and can be asked for its state.
	Holder string `json:"holder"`
	// Fingerprint identifies the request, so that reuse of the key for another one is detected.
	Fingerprint string `json:"fingerprint"`
	// Expires is the end of the lifetime of the claim and its response.
	Expires time.Time `json:"expires"`
	// Answer is nil until the attempt has stored its response.
	Answer *Answer `json:"answer,omitempty"`
}

// Key returns the table key of the claim for a caller's idempotency key, which is valid for one intent.
func Key(intent, callerKey string) store.Key {
	name := intent + "\n" + callerKey
	sum := sha256.Sum256([]byte(name))
	return store.Key{Partition: fmt.Sprintf("claim/%02d", xxhash.Sum64String(name)%partitionCount), Sort: hex.EncodeToString(sum[:])}
}

// Fingerprint returns the SHA-256 of the method, the target and the body of a request, in hexadecimal.
func Fingerprint(method, target string, body []byte) string {
	h := sha256.New()
	_, _ = io.WriteString(h, method+"\n"+target+"\n")
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// ConditionalWrite returns a conditional write that replaces the row of the expected revision by r.
//
// An expected revision of 0 means that no row exists yet. The error tells that r can't be encoded.
func (r Row) ConditionalWrite(k store.Key, expected uint64) (store.Write, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return store.Write{}, eris.Wrap(err, "encode claim")
	}
	w := store.Write{Key: k, Revision: expected + 1, Value: value, Condition: store.IfRevision, Expected: expected}
	if expected == 0 {
		w.Condition = store.IfAbsent
	}
	return w, nil
}

// DecodeRow decodes a row of the table; the cause of the error is store.CauseInvalid.
func DecodeRow(row store.Row) (Row, error) {
	var r Row
	if err := json.Unmarshal(row.Value(), &r); err != nil {
		return Row{}, store.NewError("read claim", store.CauseInvalid, err)
	}
	return r, nil
}

// Decision is what an attempt has to do about the claim that it found under its key.
type Decision int

// The decisions on a found claim.
const (
	// DecisionOwn means that the attempt itself holds the claim, so it may dispatch the request.
	DecisionOwn Decision = iota
	// DecisionReplay means that the stored response has to be returned.
	DecisionReplay
	// DecisionReused means that the key was used for a request with another fingerprint.
	DecisionReused
	// DecisionAsk means that the holder has to be asked for the state of its attempt, since no response is stored.
	DecisionAsk
	// DecisionTakeOver means that the claim has expired and may be replaced.
	DecisionTakeOver
)

// Decide returns the decision on a found claim for the attempt with the given token and request fingerprint.
func Decide(found Row, own Token, fingerprint string, now time.Time) Decision {
	switch {
	case found.Token == own:
		return DecisionOwn
	case !now.Before(found.Expires):
		return DecisionTakeOver
	case found.Fingerprint != fingerprint:
		return DecisionReused
	case found.Answer != nil:
		return DecisionReplay
	}
	return DecisionAsk
}
