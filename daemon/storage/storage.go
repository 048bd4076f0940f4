package storage

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"siskinspar.example/timeline"
	"siskinspar.example/versionlog/record"
)

// Storage is the version log with the availability of the store; its exported fields are set before use.
type Storage struct {
	Log *record.Log
	// Timeout bounds one call to the store.
	Timeout  time.Duration
	Recorder *timeline.Recorder
	Logger   *slog.Logger

	isDown atomic.Bool
}

// IsUp reports whether the last recorded call to the store succeeded; it is true before the first call.
func (s *Storage) IsUp() bool { return !s.isDown.Load() }

// RecordResult takes the error of a call to the store, or nil, and records an event and a log line when the store
// goes down or comes back.
func (s *Storage) RecordResult(err error) {
	isUp := err == nil
	if s.isDown.Swap(!isUp) != isUp {
		return
	}
	if isUp {
		s.Recorder.Record(timeline.Event{Kind: timeline.KindStoreBack})
		s.Logger.Info("storage: store is back")
		return
	}
	s.Recorder.Record(timeline.Event{Kind: timeline.KindStoreDown, Detail: err.Error()})
	s.Logger.Warn("storage: store is down", "error", err)
}

// Context returns a context that ends after Timeout, for one call to the store.
func (s *Storage) Context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), s.Timeout)
}
