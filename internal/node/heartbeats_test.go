package node

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lotusstile.dev/lotusstile/internal/httpapi"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/relay"
	"lotusstile.dev/lotusstile/internal/workerlease"
	"lotusstile.dev/lotusstile/wire"
)

// Every answer that renews a lease stops cancelled tasks, and no lease is renewed while the node's knowledge of
// cancellations is too old, by whichever path the answer reaches the worker. Two failures are guarded against: a
// leader that had not loaded its records renewed leases without stopping any task, and a node whose watch of the
// jobs hung renewed leases because the state store answered its other requests.
func TestLeasesAreRenewedOnFreshKnowledgeOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := testConfig(100, 100)
		cfg.Cluster.Workers.CancelS = 40
		state := fixedStatus(http.StatusOK)
		n := New(cfg, Network{State: &state})
		leases := n.heartbeats.leases
		time.Sleep(time.Second)
		heartbeat := wire.Heartbeat{Host: "m", Tasks: []wire.TaskReport{
			{Task: "run-000001/0", Attempt: 2, Status: wire.TaskRunning},
			{Task: "run-000001/1", Attempt: 1, Status: wire.TaskSaving},
			{Task: "run-000001/2", Attempt: 1, Status: wire.TaskEnded},
			{Task: "run-000002/0", Attempt: 1, Status: wire.TaskRunning},
		}}
		commands := []wire.Command{
			{Verb: wire.Launch, Task: "run-000001/3", Attempt: 1},
			{Verb: wire.Stop, Task: "run-000001/1", Attempt: 1, GracePeriodS: 9},
			{Verb: wire.Stop, Task: "run-000001/4", Attempt: 1},
			{Verb: wire.Acknowledge, Task: "run-000001/2", Attempt: 1},
			{Verb: wire.Launch, Task: "run-000002/1", Attempt: 1},
		}
		if err := leases.Renew(&heartbeat, &wire.Commands{}); !errors.Is(err, workerlease.ErrStale) {
			t.Errorf("before the jobs are listed Renew returned %v, want %v", err, workerlease.ErrStale)
		}
		jobs := []wire.KeyValue{
			{Key: "j/run-000001", Value: records.Encode(records.Job{Status: wire.JobAborted}), ModRevision: 1},
			{Key: "j/run-000002", Value: records.Encode(records.Job{Status: wire.JobQueued}), ModRevision: 2},
		}
		n.jobCache.Reset(jobs, 2, time.Now())
		answer := wire.Commands{Commands: slices.Clone(commands)}
		if err := leases.Renew(&heartbeat, &answer); err != nil {
			t.Errorf("with fresh knowledge of cancellations Renew returned %v, want no error", err)
		}
		got := make([]string, 0, len(answer.Commands))
		for _, command := range answer.Commands {
			got = append(got, fmt.Sprintf("%s %s %d %g", command.Verb, command.Task, command.Attempt, command.GracePeriodS))
		}
		slices.Sort(got)
		want := "launch run-000002/1 1 0, reap run-000001/2 1 0, stop run-000001/0 2 0, stop run-000001/1 1 0, stop run-000001/4 1 0"
		if text := strings.Join(got, ", "); text != want {
			t.Errorf("commands are %s\nwant %s", text, want)
		}
		// The state store answers other requests all the time, but the jobs are not read again.
		for age := time.Duration(0); age <= 29*time.Second; age += time.Second {
			if err := leases.Renew(&heartbeat, &wire.Commands{}); err != nil {
				t.Errorf("with knowledge of cancellations that is %s old Renew returned %v, want no error", age, err)
			}
			if _, _, err := n.store.Get(t.Context(), records.TermKey); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
		}
		// With knowledge that is 30 s old, a lease of 10 s would end at cancel_s (40 s), without any margin.
		if err := leases.Renew(&heartbeat, &wire.Commands{}); !errors.Is(err, workerlease.ErrStale) {
			t.Errorf("with knowledge of cancellations that is 30 s old Renew returned %v, want %v", err, workerlease.ErrStale)
		}
		const body = `{"Host":"m","Address":"m:1","Rig":"g","Yard":"a","Shift":1,"Tick":1,"Legs":[]}`
		status, _ := httpapi.EncodeHeartbeatAnswer(n.heartbeats.Answer(t.Context(), []byte(body), relay.NoPressure))
		if status != http.StatusServiceUnavailable {
			t.Errorf("heartbeat answered %d, want 503", status)
		}
	})
}

// A follower keeps nothing of machines whose heartbeats it relayed or redirected long ago: in a fleet whose machines
// come and go the map grew for as long as the process lived.
func TestRelayHistoriesOfGoneMachinesAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := testConfig(100, 100)
		state := fixedStatus(http.StatusOK)
		h := New(cfg, Network{State: &state}).heartbeats
		const machines = 100
		for round := range 20 {
			for i := range machines {
				h.shouldRelaySingly(fmt.Sprintf("m-%d-%d", round, i))
			}
			time.Sleep(2 * cfg.WorkerLease())
		}
		if got := len(h.relayHistories); got > 2*machines {
			t.Errorf("%d histories are kept, want at most %d, those of the last two rounds", got, 2*machines)
		}
	})
}
