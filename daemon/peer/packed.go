package peer

import (
	"bytes"
	"compress/gzip"
	"encoding/gob"
	"io"

	"github.com/rotisserie/eris"

	"siskinspar.example/membership"
)

// maximumUnpacked bounds the decompressed records of one message in bytes.
const maximumUnpacked = 16 << 20

// PackedRecords are records in compressed form; records of a directory repeat each other's names and labels.
type PackedRecords []byte

// Pack compresses records; no records take no bytes.
func Pack(records []membership.Record) (PackedRecords, error) {
	if len(records) == 0 {
		return nil, nil
	}
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if err := gob.NewEncoder(z).Encode(records); err != nil {
		return nil, eris.Wrap(err, "pack records")
	}
	if err := z.Close(); err != nil {
		return nil, eris.Wrap(err, "pack records")
	}
	return b.Bytes(), nil
}

// Unpack returns the records; torn or oversized input is an error.
func (p PackedRecords) Unpack() ([]membership.Record, error) {
	if len(p) == 0 {
		return nil, nil
	}
	z, err := gzip.NewReader(bytes.NewReader(p))
	if err != nil {
		return nil, eris.Wrap(err, "unpack records")
	}
	var records []membership.Record
	err = gob.NewDecoder(io.LimitReader(z, maximumUnpacked)).Decode(&records)
	return records, eris.Wrap(err, "unpack records")
}
