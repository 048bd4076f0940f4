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
	// Lifetime is how long a claim and its answer are kept; a key may be used again after it.
	Lifetime = 24 * time.Hour
	// MaximumKeyLength bounds the caller's key in characters.
	MaximumKeyLength = 256
	// MaximumBodySize bounds the body of an unrepeatable request in bytes.
	MaximumBodySize = 1 << 20
	// MaximumAnswerSize bounds an answer that is kept in bytes.
	MaximumAnswerSize = 16 << 20
	// InlineAnswerSize is the largest answer in bytes that is kept in the row itself.
	InlineAnswerSize = 32 << 10
	// partitions is the number of table partitions over which claims are spread.
	partitions = 64
)

// Token identifies one attempt to run a request.
type Token string

// Answer is the whole answer of a backend server.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body,omitempty"`
	// Object names the object that holds the body when it is large.
	Object string `json:"object,omitempty"`
}

// Row is the claim of one key in the platform's table.
type Row struct {
	Token       Token     `json:"token"`
	Holder      string    `json:"holder"`
	Fingerprint string    `json:"fingerprint"`
	Expires     time.Time `json:"expires"`
	Answer      *Answer   `json:"answer,omitempty"`
}

// Key returns the address of the claim of a caller's key for an intent.
func Key(intent, key string) store.Key {
	name := intent + "\n" + key
	sum := sha256.Sum256([]byte(name))
	return store.Key{Partition: fmt.Sprintf("claim/%02d", xxhash.Sum64String(name)%partitions), Sort: hex.EncodeToString(sum[:])}
}

// Fingerprint identifies the content of a request.
func Fingerprint(method, target string, body []byte) string {
	h := sha256.New()
	_, _ = io.WriteString(h, method+"\n"+target+"\n")
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// Write returns the write that stores the row at a revision after the expected one, 0 meaning that there is none.
func (r Row) Write(k store.Key, expected uint64) (store.Write, error) {
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

// Read decodes a row of the table.
func Read(row store.Row) (Row, error) {
	var r Row
	if err := json.Unmarshal(row.Value(), &r); err != nil {
		return Row{}, store.NewError("read claim", store.CauseInvalid, err)
	}
	return r, nil
}

// Verdict says what an attempt does about the row that it found.
type Verdict int

// The verdicts on a found row.
const (
	// VerdictOwn means that the row is the attempt's own, so the request may be dispatched.
	VerdictOwn Verdict = iota
	// VerdictReplay means that the stored answer is the answer.
	VerdictReplay
	// VerdictReused means that the key belongs to another request.
	VerdictReused
	// VerdictAsk means that only the holder can tell what became of its attempt.
	VerdictAsk
	// VerdictTakeOver means that the row has expired and may be replaced.
	VerdictTakeOver
)

// Decide compares a found row with an attempt.
func Decide(found Row, own Token, fingerprint string, now time.Time) Verdict {
	switch {
	case found.Token == own:
		return VerdictOwn
	case !now.Before(found.Expires):
		return VerdictTakeOver
	case found.Fingerprint != fingerprint:
		return VerdictReused
	case found.Answer != nil:
		return VerdictReplay
	}
	return VerdictAsk
}
