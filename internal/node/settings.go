package node

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// settings holds the settings that operators can change, as last read from the state store. It is safe for
// concurrent use.
type settings struct {
	store   *store.Client
	reportS float64 // heartbeat interval in seconds, used to derive the defaults
	current atomic.Pointer[wire.Settings]
}

func newSettings(st *store.Client, reportS float64) *settings {
	s := &settings{store: st, reportS: reportS}
	defaults := records.DefaultSettings(reportS)
	s.current.Store(&defaults)
	return s
}

// Current returns the settings in force.
func (s *settings) Current() *wire.Settings { return s.current.Load() }

// Change commits new settings and applies them on this node. The caller must have derived them from Current and
// validated them. The error is a *store.ConflictError if other settings have been committed since.
func (s *settings) Change(ctx context.Context, next wire.Settings) error {
	value := records.Encode(next)
	modRevision, err := s.store.Commit(ctx, wire.Transaction{
		Compares: []wire.Compare{{Key: records.SettingsKey, ModRevision: next.ModRevision}},
		Changes:  []wire.Change{{Set: records.SettingsKey, Value: value}},
	})
	if err != nil {
		return err
	}
	s.apply(wire.WatchEvent{Set: records.SettingsKey, Value: value, ModRevision: modRevision})
	return nil
}

// apply puts the settings of a watch event in force if they are newer and valid. If they are invalid, it logs
// an error and the current settings stay in force.
func (s *settings) apply(event wire.WatchEvent) {
	if event.Set != records.SettingsKey || event.ModRevision <= s.Current().ModRevision {
		return
	}
	next := records.DefaultSettings(s.reportS)
	if err := wire.Decode(event.Value, &next); err != nil {
		slog.Error("could not decode stored settings", "err", err)
		return
	}
	if err := records.ValidateSettings(next); err != nil {
		slog.Error("stored settings are invalid", "err", err)
		return
	}
	next.ModRevision = event.ModRevision
	slog.Info("settings changed", "settings", next)
	s.current.Store(&next)
}

// followSettings watches the settings and the cluster version in the state store until ctx ends. watchDuration
// is the duration of one watch request, retryDelay the delay after a failed request.
func (n *Node) followSettings(ctx context.Context, watchDuration, retryDelay time.Duration) {
	apply := func(event wire.WatchEvent) {
		n.version.Apply(event)
		n.settings.apply(event)
	}
	watchcache.Follow(ctx, n.store, records.SettingsPrefix, watchDuration, retryDelay,
		watchcache.HandlerFuncs{OnListed: apply, OnChanged: apply})
}
