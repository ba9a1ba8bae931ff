package ledger

import (
	"fmt"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/wire"
)

func benchRecord(i int) wire.KeyValue {
	uid := fmt.Sprintf("run-%06d", i)
	job := Job{Spec: wire.JobSpec{UID: uid, JobClass: "serve", Team: "team", Kind: wire.Service, Priority: wire.High, TaskCount: 8, Cores: 8, Gpus: 1, RAMGb: 40,
		Image: "img-1", ImageGb: 20}, Status: wire.JobQueued, AtMs: 1_800_000_000_000, Per: 80}
	return wire.KeyValue{Key: JobKey(uid), Value: Encode(job), ModRevision: uint64(i + 1)}
}

// One job's record changes.
func BenchmarkApplyChange(b *testing.B) {
	m, row := NewCache(), benchRecord(1)
	m.Reset([]wire.KeyValue{row}, 1, time.Now())
	b.ReportAllocs()
	for i := range b.N {
		revision := uint64(i + 2)
		m.Apply(wire.WatchResponse{Revision: revision, Events: []wire.WatchEvent{{Set: row.Key, Value: row.Value, ModRevision: revision}}}, revision-1, time.Now())
	}
}

// A node starts and lists 500 jobs.
func BenchmarkListing(b *testing.B) {
	rows := make([]wire.KeyValue, 500)
	for i := range rows {
		rows[i] = benchRecord(i)
	}
	b.ReportAllocs()
	for range b.N {
		NewCache().Reset(rows, 500, time.Now())
	}
}

// The record of a placement of eight tasks is encoded.
func BenchmarkEncodePlacement(b *testing.B) {
	placement := Placement{Next: 2, Done: []byte{0}}
	for task := range 8 {
		placement.Live = append(placement.Live, Placed{Task: task, Attempt: 1, Host: "m-000001", Incarnation: 1})
	}
	b.ReportAllocs()
	for range b.N {
		Encode(placement)
	}
}
