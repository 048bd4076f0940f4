package storage

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"siskinspar.example/timeline"
	"siskinspar.example/versionlog/record"
)

// Storage is the version log with a record of whether it answers; its exported fields are set before use.
type Storage struct {
	Log      *record.Log
	Timeout  time.Duration
	Recorder *timeline.Recorder
	Logger   *slog.Logger

	isDown atomic.Bool
}

// IsUp reports whether the last call to the store got an answer.
func (s *Storage) IsUp() bool { return !s.isDown.Load() }

// Note records the moments at which the store goes down and comes back.
func (s *Storage) Note(err error) {
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

// Context returns a context that bounds one call to the store.
func (s *Storage) Context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), s.Timeout)
}
