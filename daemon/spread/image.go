package spread

import (
	"sync"

	"siskinspar.example/daemon/configuration"
	"siskinspar.example/declaration"
	"siskinspar.example/versionlog/record"
)

// imageCache keeps the encoded image of one version for the daemons that ask for it.
type imageCache struct {
	mu      sync.Mutex
	version declaration.Version
	data    []byte
}

func (c *imageCache) get(h *configuration.Holder) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := h.State()
	if c.data != nil && c.version == state.Version() {
		return c.data, nil
	}
	data, err := record.Encode(state.Image())
	if err != nil {
		return nil, err
	}
	c.version = state.Version()
	c.data = data
	return data, nil
}
