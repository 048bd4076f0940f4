package peer

import (
	"bytes"
	"compress/gzip"
	"encoding/gob"
	"io"

	"github.com/rotisserie/eris"

	"siskinspar.example/membership"
)

// maximumUnpackedSize bounds the decompressed records of one message in bytes.
const maximumUnpackedSize = 16 << 20

// PackedRecords holds member records as gob compressed by gzip.
//
// The records of a roster repeat the same names and labels, so they compress well.
type PackedRecords []byte

// Pack compresses member records and returns nil for none.
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

// Unpack decompresses the records and returns an error for input that is corrupt, truncated or above 16 MiB
// when decompressed.
func (p PackedRecords) Unpack() ([]membership.Record, error) {
	if len(p) == 0 {
		return nil, nil
	}
	z, err := gzip.NewReader(bytes.NewReader(p))
	if err != nil {
		return nil, eris.Wrap(err, "unpack records")
	}
	var records []membership.Record
	err = gob.NewDecoder(io.LimitReader(z, maximumUnpackedSize)).Decode(&records)
	return records, eris.Wrap(err, "unpack records")
}
