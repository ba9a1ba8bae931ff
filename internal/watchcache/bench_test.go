package watchcache

import (
	"fmt"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

func benchRecord(i int) wire.KeyValue {
	uid := fmt.Sprintf("run-%06d", i)
	job := records.Job{
		Spec: wire.JobSpec{
			UID:       uid,
			JobClass:  "serve",
			Team:      "team",
			Kind:      wire.Service,
			Priority:  wire.High,
			TaskCount: 8,
			Cores:     8,
			Gpus:      1,
			RAMGb:     40,
			Image:     "img-1",
			ImageGb:   20,
		},
		Status:            wire.JobQueued,
		AcceptedAtMs:      1_800_000_000_000,
		TasksPerPlacement: 80,
	}
	return wire.KeyValue{Key: records.JobKey(uid), Value: records.Encode(job), ModRevision: uint64(i + 1)}
}

// BenchmarkApplyChange applies a change of one job's record to a cache.
func BenchmarkApplyChange(b *testing.B) {
	cache, item := New(), benchRecord(1)
	cache.Reset([]wire.KeyValue{item}, 1, time.Now())
	b.ReportAllocs()
	for i := range b.N {
		revision := uint64(i + 2)
		event := wire.WatchEvent{Set: item.Key, Value: item.Value, ModRevision: revision}
		cache.Apply(wire.WatchResponse{Revision: revision, Events: []wire.WatchEvent{event}}, revision-1, time.Now())
	}
}

// BenchmarkListing applies a listing of 500 jobs to an empty cache, as when a node starts.
func BenchmarkListing(b *testing.B) {
	items := make([]wire.KeyValue, 500)
	for i := range items {
		items[i] = benchRecord(i)
	}
	b.ReportAllocs()
	for range b.N {
		New().Reset(items, 500, time.Now())
	}
}
