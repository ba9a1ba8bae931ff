package node

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync/atomic"
	"time"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/internal/watchcache"
	"lotusstile.dev/lotusstile/wire"
)

// settings are the operators' own settings, as the state store has them. It is safe for concurrent
// use.
type settings struct {
	store   *store.Client
	reportS float64 // heartbeat interval in seconds, from which the defaults are derived
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

// Change commits settings made from Current, and applies them. A *store.ConflictError
// means that others were committed meanwhile. The caller must have validated them.
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

// apply puts the settings of an event in force if they are newer and valid. Settings that are not
// valid are logged, and the ones before stay in force.
func (s *settings) apply(event wire.WatchEvent) {
	if event.Set != records.SettingsKey || event.ModRevision <= s.Current().ModRevision {
		return
	}
	next := records.DefaultSettings(s.reportS)
	if err := json.Unmarshal(event.Value, &next); err != nil {
		slog.Error("stored settings cannot be read", "err", err)
		return
	}
	if err := records.ValidateSettings(next); err != nil {
		slog.Error("stored settings are not valid", "err", err)
		return
	}
	next.ModRevision = event.ModRevision
	slog.Info("settings changed", "settings", next)
	s.current.Store(&next)
}

// followSettings follows the settings and the cluster version in the state store until ctx ends. wait
// is the duration of one watch request, pause the wait after a failed one.
func (n *Node) followSettings(ctx context.Context, wait, pause time.Duration) {
	apply := func(event wire.WatchEvent) {
		n.version.Apply(event)
		n.settings.apply(event)
	}
	watchcache.Follow(ctx, n.store, records.SettingsPrefix, wait, pause, watchcache.HandlerFuncs{OnListed: apply, OnChanged: apply})
}
