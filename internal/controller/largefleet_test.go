package controller

import (
	"fmt"
	"testing"
	"time"

	"lotusstile.dev/lotusstile/internal/config"
	"lotusstile.dev/lotusstile/internal/fleet"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// fleetScenario is a leader and a fleet in which each machine gets one task of an array.
type fleetScenario struct {
	t        *testing.T
	store    *limitedStore
	hosts    []wire.ListedHost
	now      time.Time
	leader   *Controller
	sequence uint64 // of the machines' next heartbeats
}

// heartbeats lets every machine send a heartbeat, and returns the number of launches in the answers.
func (f *fleetScenario) heartbeats() (launches int) {
	for i := range f.hosts {
		heartbeat := wire.Heartbeat{
			Host:         f.hosts[i].UID,
			MachineType:  f.hosts[i].MachineType,
			Zone:         f.hosts[i].Zone,
			Incarnation:  1,
			Sequence:     f.sequence,
			FencingToken: f.leader.term,
		}
		f.leader.fleet.Get(heartbeat.Host).EachAttempt(func(a *fleet.Attempt) {
			if a.State != fleet.Planned && a.State != fleet.Committed || a.Inherited {
				report := wire.TaskReport{Task: a.TaskName(), Attempt: a.Number, Status: wire.TaskRunning}
				heartbeat.Tasks = append(heartbeat.Tasks, report)
			}
		})
		commands, _ := f.leader.Heartbeat(f.t.Context(), &heartbeat, HeartbeatOptions{})
		launches += len(commands.Commands)
	}
	f.sequence++
	return launches
}

// placeAll runs scheduling cycles until every machine runs a task of the job.
func (f *fleetScenario) placeAll(uid string) {
	f.t.Helper()
	f.heartbeats()
	launches := 0
	for cycles := 1; launches < len(f.hosts) && cycles < 20; cycles++ {
		f.now = f.now.Add(time.Second)
		f.leader.runCycle(time.Second)
		commitAll(f.t, f.leader)
		launches += f.heartbeats()
	}
	f.heartbeats()
	if j := f.leader.jobs.get(uid); launches != len(f.hosts) || j.runningCount() != len(f.hosts) {
		f.t.Fatalf("%d launches, %d running tasks, want %d of both", launches, j.runningCount(), len(f.hosts))
	}
}

// recordAllImages records the images of all machines.
func (f *fleetScenario) recordAllImages() {
	f.t.Helper()
	f.now = f.now.Add(time.Minute)
	for range len(f.hosts)/f.store.limits.TxnOps + 1 {
		f.leader.commitImageBatch(f.t.Context())
	}
	if images, _, _ := f.store.List(f.t.Context(), records.ImagesPrefix); len(images) != len(f.hosts) {
		f.t.Errorf("the images of %d machines are recorded, want %d", len(images), len(f.hosts))
	}
}

// releaseAll checks that each machine is ready and has one live attempt, and releases them all.
func (f *fleetScenario) releaseAll() {
	f.t.Helper()
	f.leader.fleet.Each(func(m *fleet.Machine) {
		if m.State != fleet.Ready || m.LiveCount() != 1 {
			f.t.Fatalf("%s is %s with %d live attempts, want %s with 1", m.ID, m.State, m.LiveCount(), fleet.Ready)
		}
		f.leader.startRelease(m, f.now, "test")
	})
	for f.leader.recordReleases(f.t.Context()) {
	}
	for f.leader.sendReleases(f.t.Context()) {
	}
	if left := f.leader.fleet.Len(); len(f.store.released) != len(f.hosts) || left != 0 {
		f.t.Errorf("%d machines are released, want %d; %d are left, want 0", len(f.store.released), len(f.hosts), left)
	}
}

// A fleet of 4,096 or 6,000 machines is listed, sends heartbeats and gets a task on each machine. The
// images of all machines are recorded, the next leader loads every attempt, and every machine is
// released, all within the limits of the state store.
func TestLargeFleetFromListToRelease(t *testing.T) {
	for _, machines := range []int{4096, 6000} {
		t.Run(fmt.Sprint(machines), func(t *testing.T) {
			f := &fleetScenario{
				t:        t,
				store:    newLimitedStore(t, config.StateLimits{Rps: 900, WriteRps: 350, ValueKb: 8, TxnOps: 24}),
				hosts:    listedHosts(machines, "a", "b"),
				now:      time.Unix(10_000, 0),
				sequence: 1,
			}
			f.leader = f.store.newLeader(5, &f.now)
			spec := wire.JobSpec{
				UID:       "run-000001",
				JobClass:  "batch",
				Team:      "crew",
				Kind:      wire.JobArray,
				Priority:  wire.High,
				TaskCount: machines,
				Cores:     64,
				Gpus:      8,
				RAMGb:     512,
				Image:     "img",
			}
			entry := f.store.addJob(f.leader, spec)
			f.leader.applyMachineList(f.hosts, f.now)
			f.placeAll(spec.UID)
			f.recordAllImages()

			f.leader = f.store.newLeader(6, &f.now)
			f.leader.applyJobEventLocked(spec.UID, entry)
			f.leader.loaded = false
			if err := f.leader.loadState(t.Context()); err != nil {
				t.Fatal(err)
			}
			if live, known := f.leader.jobs.get(spec.UID).liveAttempts, f.leader.fleet.Len(); live != machines || known != machines {
				t.Fatalf("the next leader has %d attempts on %d machines, want %d on %d", live, known, machines, machines)
			}
			f.heartbeats()
			f.releaseAll()
		})
	}
}
