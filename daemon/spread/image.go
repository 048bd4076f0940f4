package spread

import (
	"sync"

	"siskinspar.example/daemon/configuration"
	"siskinspar.example/declaration"
	"siskinspar.example/versionlog/record"
)

// imageCache keeps the image of one version, so that it is encoded once for all daemons that pull it. In this package
// an image is the encoded whole state of one version.
type imageCache struct {
	mu      sync.Mutex
	version declaration.Version
	image   []byte
}

// get returns the image of the version in force; it encodes the state when its version differs from the cached one.
func (c *imageCache) get(h *configuration.Holder) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := h.State()
	if c.image != nil && c.version == state.Version() {
		return c.image, nil
	}
	image, err := record.Encode(state.Image())
	if err != nil {
		return nil, err
	}
	c.version = state.Version()
	c.image = image
	return image, nil
}
