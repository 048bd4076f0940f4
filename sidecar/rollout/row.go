package rollout

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// document is the value of the row of a roll-out.
type document struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// DurationMS and BegunMS are in milliseconds, the latter since 1970.
	DurationMS int64   `json:"durationMs"`
	BegunMS    int64   `json:"begunMs"`
	Version    uint64  `json:"version"`
	Era        uint64  `json:"era"`
	State      State   `json:"state"`
	Number     uint64  `json:"number"`
	Share      float64 `json:"share"`
	Reason     string  `json:"reason,omitempty"`
	// Writer tells the writes of different daemons apart.
	Writer string `json:"writer"`
}

// Encode returns the value of the row of a roll-out. Begun is the time of the order by the clock of the store, writer the
// address of the daemon that writes the row.
func Encode(r Rollout, begun time.Time, writer string) ([]byte, error) {
	value, err := json.Marshal(document{
		Service: r.Order.service, Target: r.Order.target, DurationMS: r.Order.duration.Milliseconds(), BegunMS: begun.UnixMilli(),
		Version: r.Order.version, Era: r.Order.era, State: r.Step.State, Number: r.Step.Number, Share: r.Step.Share, Reason: r.Step.Reason, Writer: writer,
	})
	return value, eris.Wrap(err, "encode the roll-out")
}

// Decode returns the roll-out in the value of a row, and the time of the order by the clock of the store. It returns an
// error if a field is missing or out of range.
func Decode(value []byte) (r Rollout, begun time.Time, err error) {
	var d document
	if err := json.Unmarshal(value, &d); err != nil {
		return Rollout{}, time.Time{}, eris.Wrap(err, "decode the roll-out")
	}
	order, err := NewOrder(d.Service, d.Target, time.Duration(d.DurationMS)*time.Millisecond, d.Version, d.Era)
	if err != nil {
		return Rollout{}, time.Time{}, eris.Wrap(err, "decode the roll-out")
	}
	if d.State < Running || d.State > RolledBack || d.Number == 0 || d.Share < 0 || d.Share > 1 {
		return Rollout{}, time.Time{}, eris.Errorf("decode the roll-out: state %d, number %d or share %v is out of range", d.State, d.Number, d.Share)
	}
	step := Step{State: d.State, Number: d.Number, Share: d.Share, Reason: d.Reason}
	return Rollout{Order: order, Step: step, IsStored: true}, time.UnixMilli(d.BegunMS), nil
}
