package declaration

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"
)

// Entry is one declaration with its canonical JSON content.
//
// An entry may be invalid; Check and CheckChange report its faults.
type Entry struct {
	key     Key
	service *Service
	intent  *Intent
	content []byte
	digest  [sha256.Size]byte
	// position is where the entry was declared: the file and line, or the key when it wasn't read from a file. It is a
	// Fault without a reason, so that the faults of the entry can take over its place and line.
	position Fault
	// hostPrefix is empty for a service; intents are ambiguous only with intents of the same one.
	hostPrefix hostPrefix
	// reasons say what is wrong with the entry regardless of other entries; newEntry checks this once.
	reasons []string
}

// NewServiceEntry returns the entry of a service, or an error when it can't be encoded.
func NewServiceEntry(s Service) (Entry, error) {
	s.Kind = KindService
	return newEntry(Entry{key: Key{Kind: KindService, Name: s.Name}, service: &s}, s)
}

// NewIntentEntry returns the entry of an intent, or an error when it can't be encoded.
//
// An empty priority becomes PriorityNormal, a timeout of 0 DefaultTimeout.
func NewIntentEntry(i Intent) (Entry, error) {
	i.Kind = KindIntent
	if i.Priority == "" {
		i.Priority = PriorityNormal
	}
	if i.Timeout == 0 {
		i.Timeout = DefaultTimeout
	}
	return newEntry(Entry{key: Key{Kind: KindIntent, Name: i.Name}, intent: &i, hostPrefix: hostPrefixOf(&i)}, i)
}

// newEntry completes an entry with its content, digest, position and reasons.
func newEntry(e Entry, body any) (Entry, error) {
	content, err := json.Marshal(body)
	if err != nil {
		return Entry{}, eris.Wrapf(err, "encode %s", e.key)
	}
	e.content = content
	e.digest = sha256.Sum256(fmt.Appendf(nil, "%s\n%s", e.key, content))
	e.reasons = checkEntry(e)
	e.position = NewFault(e.key.String(), 0, "")
	return e, nil
}

// DecodeEntry returns the entry with the given key and canonical JSON content; an unknown field is an error.
func DecodeEntry(key Key, content []byte) (Entry, error) {
	switch key.Kind {
	case KindService:
		var s Service
		if err := decodeStrictly(key, content, &s); err != nil {
			return Entry{}, err
		}
		s.Name = key.Name
		return NewServiceEntry(s)
	case KindIntent:
		var i Intent
		if err := decodeStrictly(key, content, &i); err != nil {
			return Entry{}, err
		}
		i.Name = key.Name
		return NewIntentEntry(i)
	default:
		return Entry{}, eris.Errorf("unknown kind %q", key.Kind)
	}
}

func decodeStrictly(key Key, content []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(content))
	d.DisallowUnknownFields()
	return eris.Wrapf(d.Decode(into), "decode %s", key)
}

// Key returns the kind and name of the declaration.
func (e Entry) Key() Key { return e.key }

// Service returns the service, or nil when the entry is an intent.
func (e Entry) Service() *Service { return e.service }

// Intent returns the intent, or nil when the entry is a service.
func (e Entry) Intent() *Intent { return e.intent }

// Content returns the canonical JSON content.
func (e Entry) Content() []byte { return e.content }

// IsSame reports whether both entries have the same key and content.
func (e Entry) IsSame(o Entry) bool { return e.digest == o.digest }
