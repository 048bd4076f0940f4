package configuration

import (
	"log/slog"
	"sync"
	"sync/atomic"

	"siskinspar.example/sidecar/message"
	"siskinspar.example/sidecar/route"
)

// Decoder compiles a configuration as the operator wrote it.
type Decoder interface {
	// Decode returns the compiled configuration, or an error with the reason why it is refused.
	Decode(content []byte) (*route.Table, error)
}

// Holder keeps the configuration in force; it never goes back to an older one.
type Holder struct {
	// Decoder and Logger are set before use.
	Decoder Decoder
	Logger  *slog.Logger
	// OnChange is called with the source of each configuration that comes into force; it is set before use, or nil.
	OnChange func(source string)

	mu sync.Mutex
	// content is the configuration in force as the operator wrote it; document is the same for other daemons, once one
	// has asked for it.
	content  []byte
	document message.Document
	// refusal says why the latest configuration was refused, or is nil if it is in force. refusals counts all.
	refusal  error
	refusals int64
	table    atomic.Pointer[route.Table]
}

// Table returns the configuration in force, or nil before the first one.
func (h *Holder) Table() *route.Table { return h.table.Load() }

// Version returns the version in force, or 0.
func (h *Holder) Version() route.Version {
	if t := h.table.Load(); t != nil {
		return t.Version()
	}
	return 0
}

// Document returns the configuration in force for another daemon, or an empty one.
func (h *Holder) Document() message.Document {
	h.mu.Lock()
	defer h.mu.Unlock()
	version := h.Version()
	if h.document.Version == version {
		return h.document
	}
	d, err := message.NewDocument(version, h.content)
	if err != nil {
		h.Logger.Error("configuration: can't be passed on", "version", uint64(version), "error", err)
		return message.Document{}
	}
	h.document = d
	return d
}

// Refusal returns why the latest configuration was refused, or nil if it is in force. The error names its version, the
// place in it and the value.
func (h *Holder) Refusal() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refusal
}

// Refusals returns the number of configurations that were refused since the start.
func (h *Holder) Refusals() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refusals
}

// Install puts a configuration in force if it is valid and newer than the present one. Source says in the log where it
// came from.
func (h *Holder) Install(content []byte, source string) {
	t, err := h.Decoder.Decode(content)
	if err != nil {
		h.recordRefusal(err)
		h.Logger.Warn("configuration: refused", "source", source, "in-force", uint64(h.Version()), "error", err)
		return
	}
	if !h.storeIfNewer(t, content) {
		if inForce := h.Version(); t.Version() < inForce {
			h.Logger.Info("configuration: older than the one in force, not taken", "version", uint64(t.Version()), "in-force", uint64(inForce), "source", source)
		}
		return
	}
	h.Logger.Info("configuration: in force", "version", uint64(t.Version()), "source", source)
	if h.OnChange != nil {
		h.OnChange(source)
	}
}

func (h *Holder) recordRefusal(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refusal = err
	h.refusals++
}

// storeIfNewer puts a configuration in force and reports whether it is newer than the present one.
func (h *Holder) storeIfNewer(t *route.Table, content []byte) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t.Version() <= h.Version() {
		return false
	}
	h.content = content
	h.refusal = nil
	h.table.Store(t)
	return true
}
