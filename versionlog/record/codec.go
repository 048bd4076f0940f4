package record

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
)

// MaximumImageSize bounds a decompressed object in bytes.
const MaximumImageSize = 64 << 20

// Encode returns the compressed JSON of a value.
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

// Decode reads the compressed JSON of one value; torn or oversized input is an error.
func Decode(data []byte, into any) error {
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "decompress")
	}
	plain, err := io.ReadAll(io.LimitReader(z, MaximumImageSize+1))
	if err != nil {
		return eris.Wrap(err, "decompress")
	}
	if len(plain) > MaximumImageSize {
		return eris.New("content is larger than 64 MiB")
	}
	return eris.Wrap(json.Unmarshal(plain, into), "decode")
}
