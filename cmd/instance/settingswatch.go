package instance

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"time"

	"siskinspar.example/platform/nodefile"
	"siskinspar.example/sidecar/settings"
)

// settingsPeriod is how often the settings file is looked at, since it may change without a signal.
const settingsPeriod = 5 * time.Second

// settingsWatch reads the settings file again after SIGHUP and when it has changed.
type settingsWatch struct {
	path    string
	logger  *slog.Logger
	hangup  chan os.Signal
	changed chan *settings.Settings
	last    []byte
}

// run watches until the context ends.
func (w *settingsWatch) run(ctx context.Context) {
	w.read()
	ticker := time.NewTicker(settingsPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.hangup:
			w.logger.Info("settings: SIGHUP")
		case <-ticker.C:
		}
		next := w.read()
		if next == nil {
			continue
		}
		select {
		case w.changed <- next:
		case <-ctx.Done():
			return
		}
	}
}

// read returns the settings if the file differs from what was read last and is sound.
func (w *settingsWatch) read() *settings.Settings {
	content, err := os.ReadFile(w.path)
	if err != nil {
		w.logger.Warn("settings: file can't be read", "error", err)
		return nil
	}
	if bytes.Equal(content, w.last) {
		return nil
	}
	isFirst := w.last == nil
	w.last = content
	next, err := nodefile.Parse(string(content))
	if err != nil {
		w.logger.Warn("settings: the changed file is refused", "error", err)
		return nil
	}
	if isFirst {
		return nil
	}
	return next
}
