package standby

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// rapid draws the same inputs in every run; the flag -rapid.seed selects others.
func init() {
	_ = flag.Set("rapid.seed", "1")
	slog.SetDefault(slog.New(slog.DiscardHandler))
}

// checkSameAsListed checks that the proven placements and machine releases are those that the state store lists.
func checkSameAsListed(t rapid.TB, s *fakeStore, p *ProvenCopy) {
	t.Helper()
	for prefix, got := range map[string][]wire.KeyValue{
		records.PlacementPrefix:      p.Placements,
		records.MachineReleasePrefix: p.MachineReleases,
	} {
		want, _, _ := s.List(context.Background(), prefix)
		if len(got) != len(want) {
			t.Fatalf("got %d proven records under %s, want %d", len(got), prefix, len(want))
		}
		for i := range want {
			if got[i].Key != want[i].Key || got[i].ModRevision != want[i].ModRevision || string(got[i].Value) != string(want[i].Value) {
				t.Fatalf("got proven record %+v, want %+v", got[i], want[i])
			}
		}
	}
}

// After an election the proven records are those that a listing returns, whatever the outcome of the old leaders'
// commits, including commits that were executed late or whose outcome their leader never learned. This holds for two
// standbys that pull at any time, also from a leader that has been deposed.
func TestWhatIsProvenIsWhatIsListed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newFakeStore()
		sources := map[string]*Source{}
		leaders := []*leader{newLeader(s)}
		sources["leader-0"] = leaders[0].source
		followers := []*Follower{followSources("n1", sources), followSources("n2", sources)}
		key := rapid.SampledFrom([]string{"p/run-1/000000", "p/run-1/000001", "p/run-2/000000", "r/7-1", "r/7-2", "i/m-1"})
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			// A deposed leader may not know yet that it is deposed, and continues to write.
			l := leaders[len(leaders)-1-rapid.IntRange(0, min(1, len(leaders)-1)).Draw(t, "leader")]
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2, 3, 4:
				s.nextOutcome = outcome(rapid.IntRange(0, int(outcomeCount)-1).Draw(t, "outcome"))
				keys := rapid.SliceOfNDistinct(key, 1, 3, rapid.ID[string]).Draw(t, "keys")
				l.write(fmt.Sprint(i), rapid.IntRange(0, 3).Draw(t, "drop") == 0, keys...)
			case 5, 6:
				s.executeDelayed(rapid.IntRange(0, 9).Draw(t, "late"))
			case 7, 8:
				at := slices.Index(leaders, l)
				followers[rapid.IntRange(0, 1).Draw(t, "follower")].Pull(fmt.Sprintf("leader-%d", at), l.term)
			case 9:
				if rapid.IntRange(0, 5).Draw(t, "elect") == 0 {
					leaders = append(leaders, newLeader(s))
					sources[fmt.Sprintf("leader-%d", len(leaders)-1)] = leaders[len(leaders)-1].source
				}
			}
		}
		term := s.elect()
		for len(s.delayed) > 0 {
			s.executeDelayed(0) // the compare of the leader's key rejects the commit
		}
		for _, f := range followers {
			if !f.HasCopy() {
				continue
			}
			p, err := f.Prove(context.Background(), s, term)
			if err != nil {
				t.Fatalf("Prove returned %v, want nil", err)
			}
			checkSameAsListed(t, s, p)
		}
	})
}

// A commit whose outcome is unknown keeps the position below any revision that it can get, until its keys are written
// again. Otherwise a standby would miss the commit if it is executed late.
func TestUnknownOutcomeHoldsThePositionBack(t *testing.T) {
	s := newFakeStore()
	l := newLeader(s)
	s.nextOutcome = delayedRequest
	l.write("late", false, "p/run-1/000000")
	l.write("other", false, "p/run-2/000000")
	if at := l.source.Status().Position; at != l.term {
		t.Errorf("with a commit of unknown outcome the position is %d, want %d", at, l.term)
	}
	f := followSources("n1", map[string]*Source{"l": l.source})
	f.Pull("l", l.term)
	s.executeDelayed(0)
	p, err := f.Prove(context.Background(), s, s.elect())
	if err != nil {
		t.Fatal(err)
	}
	checkSameAsListed(t, s, p)
	l.modRevisions["p/run-1/000000"] = s.items["p/run-1/000000"].ModRevision
	l.term = s.items[records.LeaderKey].ModRevision
	l.write("again", false, "p/run-1/000000")
	if at := l.source.Status().Position; at != s.revision {
		t.Errorf("after all commits are settled the position is %d, want %d", at, s.revision)
	}
}

// A wrong part is refused with an exported error and counted. None of it is used, and the follower discards its copy.
// If its node is elected then, Prove returns ErrNoCopy, so that the node lists all records; otherwise the next pull
// starts again.
func TestWrongPartsAreRefused(t *testing.T) {
	for _, tc := range []struct {
		name    string
		corrupt func(r *peer.FollowReply)
		want    error
	}{
		{"wrong_term", func(r *peer.FollowReply) { r.Term-- }, ErrWrongTerm},
		{"out_of_order", func(r *peer.FollowReply) { r.Part++ }, ErrOutOfOrder},
		{"out_of_order", func(r *peer.FollowReply) { r.Full, r.Base = false, r.Base+1 }, ErrOutOfOrder},
		{"truncated", func(r *peer.FollowReply) { r.Size++ }, ErrTruncated},
		{"truncated", func(r *peer.FollowReply) { r.Entries++ }, ErrTruncated},
		{"undecodable", func(r *peer.FollowReply) { r.Body = r.Body[:len(r.Body)/2] }, ErrUndecodable},
		{"undecodable", func(r *peer.FollowReply) { r.Body = []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff} }, ErrUndecodable},
		{"oversized", func(r *peer.FollowReply) { r.Size = maxPartBytes + 1 }, ErrOversized},
		{"oversized", func(r *peer.FollowReply) { r.Body = []byte{0xff, 0xff, 0xff, 0x7f, 0} }, ErrOversized},
		{"digest", func(r *peer.FollowReply) { r.Digest++ }, ErrDigest},
	} {
		if cause := causeOf(tc.want); cause != tc.name {
			t.Errorf("%v is counted as %s, want %s", tc.want, cause, tc.name)
		}
		for _, first := range []bool{true, false} {
			l := newLargeLeader(newFakeStore())
			corrupt := first
			f := newFollower("n1", func(_ string, args peer.FollowArgs) (peer.FollowReply, error) {
				r, err := l.source.Follow(args)
				if corrupt {
					tc.corrupt(&r)
				}
				return r, err
			})
			f.Pull("l", l.term)
			if !first {
				if !f.HasCopy() {
					t.Fatalf("%s: there is no copy after the first pull, want one", tc.name)
				}
				l.write("new", false, "p/run-1/000000")
				corrupt = true
				f.Pull("l", l.term)
			}
			st := f.Status()
			if st.State != Empty || st.Entries != 0 || st.Refused[tc.name] != 1 {
				t.Errorf("%s: got state %s, %d entries, refused %v; want empty, 0, one refused", tc.name, st.State, st.Entries, st.Refused)
			}
			if _, err := f.Prove(context.Background(), l.fake, l.fake.elect()); !errors.Is(err, ErrNoCopy) {
				t.Errorf("%s: Prove returned %v, want %v", tc.name, err, ErrNoCopy)
			}
			corrupt = false
			f.Discard("no longer leading")
			f.Pull("l", l.term)
			if !f.HasCopy() {
				t.Errorf("%s: there is no copy after the next pull, want one", tc.name)
			}
		}
	}
}

// Whichever byte of a part is changed in transit, the follower never has a copy whose digest differs from the leader's.
func TestCorruptedBytesAreNeverAccepted(t *testing.T) {
	l := newLargeLeader(newFakeStore())
	rapid.Check(t, func(t *rapid.T) {
		f := newFollower("n1", func(_ string, args peer.FollowArgs) (peer.FollowReply, error) {
			r, err := l.source.Follow(args)
			if args.Part == 0 && len(r.Body) > 0 {
				r.Body = slices.Clone(r.Body)
				at := rapid.IntRange(0, len(r.Body)-1).Draw(t, "at")
				r.Body[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
			}
			return r, err
		})
		f.Pull("l", l.term)
		if f.HasCopy() && f.copy.computeDigest() != l.source.contents.digest {
			t.Fatalf("got copy with digest %x, want %x", f.copy.computeDigest(), l.source.contents.digest)
		}
	})
}

// A transfer that is cut off leaves the copy as it was, or no copy if it was the first transfer.
func TestCutTransferKeepsTheCopy(t *testing.T) {
	s := newFakeStore()
	l := newLargeLeader(s)
	cutAt := 1
	f := newFollower("n1", func(_ string, args peer.FollowArgs) (peer.FollowReply, error) {
		if args.Part == cutAt {
			return peer.FollowReply{}, errors.New("connection was cut off")
		}
		return l.source.Follow(args)
	})
	f.BehindAfter = time.Minute
	f.Pull("l", l.term)
	if st := f.Status(); st.State != Empty || st.Entries != 0 {
		t.Errorf("after the first transfer was cut off the state is %s with %d entries, want empty with 0", st.State, st.Entries)
	}
	cutAt = -1
	f.Pull("l", l.term)
	before := f.Status()
	for i := range 200 {
		l.write(fmt.Sprintf("%q", make([]byte, 2000)), false, fmt.Sprintf("p/run-%d/000000", i))
	}
	cutAt = 1
	f.Pull("l", l.term)
	if st := f.Status(); st.State != Following || st.Sequence != before.Sequence || st.Position != before.Position {
		t.Errorf("after a cut-off transfer got %s at %d, want following at %d", st.State, st.Sequence, before.Sequence)
	}
	p, err := f.Prove(context.Background(), s, s.elect())
	if err != nil {
		t.Fatal(err)
	}
	checkSameAsListed(t, s, p)
}

// A standby that cannot reach the leader falls behind. Its copy can be proven only while the state store still has
// the changes since the copy's position. A standby that reaches the leader again pulls everything if the leader no
// longer has the changes since the copy.
func TestFollowerFallsBehindAndCatchesUp(t *testing.T) {
	s := newFakeStore()
	l := newLeader(s)
	l.write("1", false, "p/run-1/000000")
	sources := map[string]*Source{"l": l.source}
	prover, lateProver, reconnecting := followSources("n1", sources), followSources("n2", sources), followSources("n1", sources)
	now := time.Unix(1000, 0)
	for _, x := range []*Follower{prover, lateProver, reconnecting} {
		x.now = func() time.Time { return now }
		x.Pull("l", l.term)
	}
	delete(sources, "l")
	now = now.Add(5 * time.Minute)
	for i := range 2*minLoggedChanges + 10 {
		l.write(fmt.Sprint(i), false, fmt.Sprintf("p/run-%d/000000", i%20))
	}
	for _, x := range []*Follower{prover, lateProver, reconnecting} {
		x.Pull("l", l.term)
		if st := x.Status(); st.State != Behind || st.Lag != 5*time.Minute {
			t.Fatalf("got state %s and lag %s, want behind and 5m0s", st.State, st.Lag)
		}
	}
	sources["l"] = l.source
	reconnecting.Pull("l", l.term)
	if st := reconnecting.Status(); st.State != Following || st.Sequence != l.source.Status().Sequence {
		t.Errorf("got state %s at %d, want following at %d", st.State, st.Sequence, l.source.Status().Sequence)
	}
	term := s.elect()
	p, err := prover.Prove(context.Background(), s, term)
	if err != nil {
		t.Fatal(err)
	}
	checkSameAsListed(t, s, p)
	s.compactedUpTo = s.revision - 100
	if _, err := lateProver.Prove(context.Background(), s, term); !errors.Is(err, ErrTooFarBehind) {
		t.Errorf("Prove returned %v, want %v", err, ErrTooFarBehind)
	}
	if st := lateProver.Status(); st.State != Empty || st.Refused["too_far_behind"] != 1 {
		t.Errorf("got state %s and refused %v, want empty and one too_far_behind", st.State, st.Refused)
	}
}

// While the state store refuses the elected node's reads, Prove returns the store's error, the follower keeps its
// copy, and its state stays Verifying. A later Prove can succeed.
func TestStateStoreRefusesTheStandby(t *testing.T) {
	s := newFakeStore()
	l := newLeader(s)
	l.write("1", false, "p/run-1/000000")
	f := followSources("n1", map[string]*Source{"l": l.source})
	f.Pull("l", l.term)
	term := s.elect()
	s.readErr = errors.New("503")
	if _, err := f.Prove(context.Background(), s, term); !errors.Is(err, s.readErr) || f.Status().State != Verifying {
		t.Errorf("Prove returned %v in state %s, want %v in state verifying", err, f.Status().State, s.readErr)
	}
	s.readErr = nil
	if _, err := f.Prove(context.Background(), s, term); err != nil || f.Status().State != Ready {
		t.Errorf("Prove returned %v in state %s, want nil in state ready", err, f.Status().State)
	}
	f.MarkPromoted("decides")
	f.Pull("l", l.term) // the old leader continues to offer its state, but is no longer followed
	if f.Status().State != Promoted {
		t.Errorf("got state %s, want promoted", f.Status().State)
	}
	f.Discard("over")
	if f.Status().State != Empty {
		t.Errorf("got state %s, want empty", f.Status().State)
	}
}

// A copy that has been corrupted in memory is discarded instead of proven, before any decision depends on it.
func TestCorruptedCopyIsNotProven(t *testing.T) {
	s := newFakeStore()
	l := newLeader(s)
	l.write("1", false, "p/run-1/000000")
	f := followSources("n1", map[string]*Source{"l": l.source})
	f.Pull("l", l.term)
	entry, _ := f.copy.tree.Get([]byte("p/run-1/000000"))
	entry.Value = []byte("2")
	if _, err := f.Prove(context.Background(), s, s.elect()); !errors.Is(err, ErrDigest) || f.Status().State != Empty {
		t.Errorf("Prove returned %v in state %s, want %v in state empty", err, f.Status().State, ErrDigest)
	}
}

// A copy is only proven for a newer term than its own.
func TestCopyOfTheSameTermIsNotProven(t *testing.T) {
	s := newFakeStore()
	l := newLeader(s)
	f := followSources("n1", map[string]*Source{"l": l.source})
	f.Pull("l", l.term)
	if _, err := f.Prove(context.Background(), s, l.term); !errors.Is(err, ErrNoCopy) {
		t.Errorf("Prove returned %v, want %v", err, ErrNoCopy)
	}
}

// The standby receives the leader's machine views and job views, the latter with unchanged running tasks, and no
// views that have been dropped.
func TestViewsArrive(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	s := newFakeStore()
	l := newLeader(s)
	views := &fakeViews{}
	want := map[string][]RunningTask{}
	for i := range 700 {
		v := JobView{UID: fmt.Sprintf("run-%06d", i), HasRun: true}
		for task := range rng.IntN(60) {
			if rng.IntN(3) > 0 {
				want[v.UID] = append(want[v.UID], RunningTask{task, uint64(1 + rng.IntN(9)), 1_700_000_000 + rng.Int64N(5000)})
			}
		}
		if err := v.SetRunning(want[v.UID]); err != nil {
			t.Fatal(err)
		}
		entry, err := v.Entry()
		if err != nil {
			t.Fatal(err)
		}
		views.entries = append(views.entries, entry)
	}
	for i := range 300 {
		v := MachineView{Host: fmt.Sprintf("m-%d", i), Zone: "a", Incarnation: 3, Images: []string{"x"}}
		entry, _ := v.Entry()
		views.entries = append(views.entries, entry)
	}
	views.entries = append(views.entries, DroppedMachineView("m-7"), DroppedJobView("run-000007"))
	delete(want, "run-000007")
	l.source.Seed(views)
	f := followSources("n1", map[string]*Source{"l": l.source})
	f.Pull("l", l.term)
	p, err := f.Prove(context.Background(), s, s.elect())
	if err != nil {
		t.Fatal(err)
	}
	if len(p.Jobs) != 699 || len(p.Machines) != 299 {
		t.Fatalf("got %d jobs and %d machines, want 699 and 299", len(p.Jobs), len(p.Machines))
	}
	for i := range p.Jobs {
		tasks, err := p.Jobs[i].RunningTasks()
		if err != nil || !slices.Equal(tasks, want[p.Jobs[i].UID]) {
			t.Errorf("%s: got running tasks %v and error %v, want %v and nil", p.Jobs[i].UID, tasks, err, want[p.Jobs[i].UID])
		}
	}
}

// A transfer that is no longer requested is dropped, and a node that is not a member gets nothing.
func TestSourceDropsAbandonedTransfersAndRefusesNonMembers(t *testing.T) {
	l := newLargeLeader(newFakeStore())
	now := time.Unix(1000, 0)
	l.source.now = func() time.Time { return now }
	first, err := l.source.Follow(peer.FollowArgs{From: "n1", Term: l.term})
	if err != nil || first.Last || first.Transfer == 0 {
		t.Fatalf("got first part %+v and error %v, want a part that is not the last, and nil", first, err)
	}
	now = now.Add(2 * time.Minute)
	if r, _ := l.source.Follow(peer.FollowArgs{From: "n1", Term: l.term, Transfer: first.Transfer, Part: 1}); r.Transfer != 0 {
		t.Errorf("got part %d of an abandoned transfer, want none", r.Part)
	}
	for _, args := range []peer.FollowArgs{{From: "n9", Term: l.term}, {From: "n1", Term: l.term - 1}} {
		if r, _ := l.source.Follow(args); r.Leading || len(r.Body) > 0 {
			t.Errorf("%+v: got Leading %v and %d bytes, want false and 0", args, r.Leading, len(r.Body))
		}
	}
}
