package record

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
)

// MaximumDecodedSize is the largest decompressed object that Decode accepts, in bytes.
const MaximumDecodedSize = 64 << 20

// Encode returns the gzip-compressed JSON of a value.
func Encode(value any) ([]byte, error) {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if err := json.NewEncoder(z).Encode(value); err != nil {
		return nil, eris.Wrap(err, "encode")
	}
	if err := z.Close(); err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	return b.Bytes(), nil
}

// Decode reads a value from gzip-compressed JSON; truncated or oversized data is an error.
func Decode(data []byte, into any) error {
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "decompress")
	}
	plain, err := io.ReadAll(io.LimitReader(z, MaximumDecodedSize+1))
	if err != nil {
		return eris.Wrap(err, "decompress")
	}
	if len(plain) > MaximumDecodedSize {
		return eris.Errorf("decompressed content is larger than %d bytes", MaximumDecodedSize)
	}
	return eris.Wrap(json.Unmarshal(plain, into), "decode")
}
