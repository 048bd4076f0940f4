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

// settingsPeriod is the interval at which the settings file is read, since it may change without a SIGHUP.
const settingsPeriod = 5 * time.Second

// settingsWatcher reads the settings file after each SIGHUP and every settingsPeriod, and sends the settings on when
// the file has changed.
type settingsWatcher struct {
	path        string
	logger      *slog.Logger
	hangup      chan os.Signal          // receives SIGHUP
	changed     chan *settings.Settings // gets the settings of each valid change
	lastContent []byte                  // content of the file when it was read last; nil before the first read
}

// run watches the file until the context ends. The first read only records the content to compare with.
func (w *settingsWatcher) run(ctx context.Context) {
	w.read()
	ticker := time.NewTicker(settingsPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.hangup:
			w.logger.Info("settings: SIGHUP received")
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

// read reads the file and returns its settings if it differs from the last read and is valid, or else nil. It logs a
// file that it can't read or parse; an invalid file is not parsed again until its content changes.
func (w *settingsWatcher) read() *settings.Settings {
	content, err := os.ReadFile(w.path)
	if err != nil {
		w.logger.Warn("settings: can't read the file", "error", err)
		return nil
	}
	if bytes.Equal(content, w.lastContent) {
		return nil
	}
	isFirst := w.lastContent == nil
	w.lastContent = content
	next, err := nodefile.Parse(string(content))
	if err != nil {
		w.logger.Warn("settings: changed file is invalid, keeping the settings in use", "error", err)
		return nil
	}
	if isFirst {
		return nil
	}
	return next
}
