package message

import (
	"bytes"
	"compress/flate"

	"github.com/rotisserie/eris"

	"siskinspar.example/sidecar/memory"
	"siskinspar.example/sidecar/route"
)

// maximumDocumentSize limits a configuration as the operator wrote it, in bytes.
const maximumDocumentSize = 16 << 20

// Document is a configuration as the operator wrote it, compressed for its way to other daemons.
type Document struct {
	Version route.Version
	// Packed is the content, compressed with DEFLATE.
	Packed []byte
}

// NewDocument compresses a configuration.
func NewDocument(v route.Version, content []byte) (Document, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return Document{}, eris.Wrap(err, "compress a configuration")
	}
	if _, err := w.Write(content); err != nil {
		return Document{}, eris.Wrap(err, "compress a configuration")
	}
	if err := w.Close(); err != nil {
		return Document{}, eris.Wrap(err, "compress a configuration")
	}
	return Document{Version: v, Packed: packed.Bytes()}, nil
}

// Content returns the configuration as the operator wrote it, or an error if it is damaged or too large.
func (d Document) Content() ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(d.Packed))
	// A reader in memory needs no close.
	content, err := memory.ReadBody(r, -1, maximumDocumentSize, nil)
	return content, eris.Wrap(err, "decompress a configuration")
}
