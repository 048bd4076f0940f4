package departure

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Departure says that a backend server has announced that it leaves, or that it is gone.
type Departure struct {
	server string
	born   int64
	at     time.Time
}

// New returns the departure of the backend server with an ID. All its incarnations that started at born or before, in
// milliseconds since 1970, are gone with it. At is when it was announced, by the clock of the instance.
func New(server string, born int64, at time.Time) Departure {
	return Departure{server: server, born: born, at: at}
}

// Server returns the ID of the backend server.
func (d Departure) Server() string { return d.server }

// Born returns the start of the latest incarnation that has left, in milliseconds since 1970.
func (d Departure) Born() int64 { return d.born }

// document is the value of a row.
type document struct {
	Server string `json:"server"`
	Born   int64  `json:"born"`
	// At is in milliseconds since 1970.
	At int64 `json:"at"`
}

// encode returns the value of the row of the departure.
func (d Departure) encode() ([]byte, error) {
	value, err := json.Marshal(document{Server: d.server, Born: d.born, At: d.at.UnixMilli()})
	return value, eris.Wrap(err, "encode the departure")
}

// decode returns the departure in the value of a row.
func decode(value []byte) (Departure, error) {
	var d document
	if err := json.Unmarshal(value, &d); err != nil {
		return Departure{}, eris.Wrap(err, "decode the departure")
	}
	if d.Server == "" || d.Born < 0 || d.At <= 0 {
		return Departure{}, eris.Errorf("server %q, born %d, at %d: one of them is missing or below 0", d.Server, d.Born, d.At)
	}
	return New(d.Server, d.Born, time.UnixMilli(d.At)), nil
}

// prefix begins the keys of the rows of one daemon.
func prefix(daemon string) string { return daemon + "/" }

// key returns the key of the row of a departure. It holds a hash, since an ID may be longer than a key.
func key(daemon string, d Departure) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d %s", d.born, d.server))
	return prefix(daemon) + hex.EncodeToString(sum[:keyHashSize])
}

// keyHashSize is the number of bytes of the hash in a key.
const keyHashSize = 16
