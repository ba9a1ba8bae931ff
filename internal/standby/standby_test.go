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

// The same inputs every run; -rapid.seed draws others.
func init() {
	_ = flag.Set("rapid.seed", "1")
	slog.SetDefault(slog.New(slog.DiscardHandler))
}

// checkSameAsListed compares what is proven with what the state store lists.
func checkSameAsListed(t rapid.TB, s *service, p *Proven) {
	t.Helper()
	for prefix, got := range map[string][]wire.KeyValue{records.PlacementPrefix: p.Placements, records.ScaleInPrefix: p.Returns} {
		want, _, _ := s.List(context.Background(), prefix)
		if len(got) != len(want) {
			t.Fatalf("%d records under %s are proven, there are %d", len(got), prefix, len(want))
		}
		for i := range want {
			if got[i].Key != want[i].Key || got[i].ModRevision != want[i].ModRevision || string(got[i].Value) != string(want[i].Value) {
				t.Fatalf("%+v is proven, there is %+v", got[i], want[i])
			}
		}
	}
}

// After an election the proven records are those that a listing shows, whatever the outcome of the
// old leader's commits, even of those that were carried out late or whose outcome it never knew:
// while the leader is followed, after it was deposed, and by either of two standbys.
func TestWhatIsProvenIsWhatIsListed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newService()
		sources := map[string]*Source{}
		leaders := []*leader{newLeader(s)}
		sources["leader-0"] = leaders[0].source
		followers := []*Follower{follow("n1", sources), follow("n2", sources)}
		key := rapid.SampledFrom([]string{"p/run-1/000000", "p/run-1/000001", "p/run-2/000000", "r/7-1", "r/7-2", "i/m-1"})
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			// A deposed leader may not know that yet, and continues to write.
			l := leaders[len(leaders)-1-rapid.IntRange(0, min(1, len(leaders)-1)).Draw(t, "leader")]
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2, 3, 4:
				s.next = outcome(rapid.IntRange(0, int(outcomes)-1).Draw(t, "outcome"))
				keys := rapid.SliceOfNDistinct(key, 1, 3, rapid.ID[string]).Draw(t, "keys")
				l.write(fmt.Sprint(i), rapid.IntRange(0, 3).Draw(t, "drop") == 0, keys...)
			case 5, 6:
				s.deliverLate(rapid.IntRange(0, 9).Draw(t, "late"))
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
		for len(s.late) > 0 {
			s.deliverLate(0) // the compare of the leader's key refuses it
		}
		for _, f := range followers {
			if !f.HasCopy() {
				continue
			}
			p, err := f.Prove(context.Background(), s, term)
			if err != nil {
				t.Fatalf("not proven: %v", err)
			}
			checkSameAsListed(t, s, p)
		}
	})
}

// A commit whose outcome is unknown keeps the position below it until its keys are written
// again. Otherwise a standby would miss it when it is carried out late.
func TestUnknownOutcomeHoldsThePositionBack(t *testing.T) {
	s := newService()
	l := newLeader(s)
	s.next = lateRequest
	l.write("late", false, "p/run-1/000000")
	l.write("other", false, "p/run-2/000000")
	if at := l.source.Status().Position; at != l.term {
		t.Errorf("the position is %d, the commit may be carried out at any revision after %d", at, l.term)
	}
	f := follow("n1", map[string]*Source{"l": l.source})
	f.Pull("l", l.term)
	s.deliverLate(0)
	p, err := f.Prove(context.Background(), s, s.elect())
	if err != nil {
		t.Fatal(err)
	}
	checkSameAsListed(t, s, p)
	l.modRevisions["p/run-1/000000"] = s.items["p/run-1/000000"].ModRevision
	l.term = s.items[records.LeaderKey].ModRevision
	l.write("again", false, "p/run-1/000000")
	if at := l.source.Status().Position; at != s.revision {
		t.Errorf("the position is %d once all is settled, expected %d", at, s.revision)
	}
}

// A wrong part is refused with a sentinel error and counted, and none of it is used: the
// standby starts again, and a node that is elected then lists all records.
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
			l := newLargeLeader(newService())
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
					t.Fatalf("%s: there is no copy", tc.name)
				}
				l.write("new", false, "p/run-1/000000")
				corrupt = true
				f.Pull("l", l.term)
			}
			st := f.Status()
			if st.State != Empty || st.Entries != 0 || st.Refused[tc.name] != 1 {
				t.Errorf("%s: the state is %s with %d entries, refused %v", tc.name, st.State, st.Entries, st.Refused)
			}
			if _, err := f.Prove(context.Background(), l.service, l.service.elect()); !errors.Is(err, ErrNoCopy) {
				t.Errorf("%s: proven with %v", tc.name, err)
			}
			corrupt = false
			f.Discard("no longer leading")
			f.Pull("l", l.term)
			if !f.HasCopy() {
				t.Errorf("%s: it does not start again", tc.name)
			}
		}
	}
}

// However the bytes are changed on their way, the follower never has a copy whose digest is not the
// leader's.
func TestCorruptedBytesAreNeverAccepted(t *testing.T) {
	l := newLargeLeader(newService())
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
			t.Fatalf("the copy differs from what the leader has")
		}
	})
}

// A stream that is cut in the middle of a transfer leaves the copy as it was, or none.
func TestCutTransferKeepsTheCopy(t *testing.T) {
	s := newService()
	l := newLargeLeader(s)
	cutAt := 1
	f := newFollower("n1", func(_ string, args peer.FollowArgs) (peer.FollowReply, error) {
		if args.Part == cutAt {
			return peer.FollowReply{}, errors.New("cut")
		}
		return l.source.Follow(args)
	})
	f.BehindAfter = time.Minute
	f.Pull("l", l.term)
	if st := f.Status(); st.State != Empty || st.Entries != 0 {
		t.Errorf("after a cut first transfer the state is %s with %d entries", st.State, st.Entries)
	}
	cutAt = -1
	f.Pull("l", l.term)
	was := f.Status()
	for i := range 200 {
		l.write(fmt.Sprintf("%q", make([]byte, 2000)), false, fmt.Sprintf("p/run-%d/000000", i))
	}
	cutAt = 1
	f.Pull("l", l.term)
	if st := f.Status(); st.State != Following || st.Sequence != was.Sequence || st.Position != was.Position {
		t.Errorf("after a cut transfer it is %s at %d, was at %d", st.State, st.Sequence, was.Sequence)
	}
	p, err := f.Prove(context.Background(), s, s.elect())
	if err != nil {
		t.Fatal(err)
	}
	checkSameAsListed(t, s, p)
}

// A standby that cannot reach the leader falls behind; its copy can be proven as long as the
// state store still has the changes since then, and not after that. If the leader no longer has
// the changes when the standby comes back, it pulls everything again.
func TestFollowerFallsBehindAndCatchesUp(t *testing.T) {
	s := newService()
	l := newLeader(s)
	l.write("1", false, "p/run-1/000000")
	sources := map[string]*Source{"l": l.source}
	f, g, h := follow("n1", sources), follow("n2", sources), follow("n1", sources)
	now := time.Unix(1000, 0)
	for _, x := range []*Follower{f, g, h} {
		x.now = func() time.Time { return now }
		x.Pull("l", l.term)
	}
	delete(sources, "l")
	now = now.Add(5 * time.Minute)
	for i := range 2*minLoggedChanges + 10 {
		l.write(fmt.Sprint(i), false, fmt.Sprintf("p/run-%d/000000", i%20))
	}
	for _, x := range []*Follower{f, g, h} {
		x.Pull("l", l.term)
		if st := x.Status(); st.State != Behind || st.Lag != 5*time.Minute {
			t.Fatalf("the state is %s, the lag %s", st.State, st.Lag)
		}
	}
	sources["l"] = l.source
	h.Pull("l", l.term)
	if st := h.Status(); st.State != Following || st.Sequence != l.source.Status().Sequence {
		t.Errorf("back again, the state is %s at %d", st.State, st.Sequence)
	}
	term := s.elect()
	p, err := f.Prove(context.Background(), s, term)
	if err != nil {
		t.Fatal(err)
	}
	checkSameAsListed(t, s, p)
	s.oldestKnown = s.revision - 100
	if _, err := g.Prove(context.Background(), s, term); !errors.Is(err, ErrTooFarBehind) {
		t.Errorf("proven with %v", err)
	}
	if st := g.Status(); st.State != Empty || st.Refused["too_far_behind"] != 1 {
		t.Errorf("the state is %s, refused %v", st.State, st.Refused)
	}
}

// While the state store refuses this node alone, the proof waits: nothing is ready, and
// nothing is discarded.
func TestStateServiceRefusesTheStandby(t *testing.T) {
	s := newService()
	l := newLeader(s)
	l.write("1", false, "p/run-1/000000")
	f := follow("n1", map[string]*Source{"l": l.source})
	f.Pull("l", l.term)
	term := s.elect()
	s.down = errors.New("503")
	if _, err := f.Prove(context.Background(), s, term); !errors.Is(err, s.down) || f.Status().State != Verifying {
		t.Errorf("proven with %v, the state is %s", err, f.Status().State)
	}
	s.down = nil
	if _, err := f.Prove(context.Background(), s, term); err != nil || f.Status().State != Ready {
		t.Errorf("proven with %v, the state is %s", err, f.Status().State)
	}
	f.MarkPromoted("decides")
	f.Pull("l", l.term) // the old leader goes on, and is not followed any more
	if f.Status().State != Promoted {
		t.Errorf("the state is %s", f.Status().State)
	}
	f.Discard("over")
	if f.Status().State != Empty {
		t.Errorf("the state is %s", f.Status().State)
	}
}

// A copy that was corrupted in memory is detected before any decision depends on it.
func TestCorruptedCopyIsNotProven(t *testing.T) {
	s := newService()
	l := newLeader(s)
	l.write("1", false, "p/run-1/000000")
	f := follow("n1", map[string]*Source{"l": l.source})
	f.Pull("l", l.term)
	entry, _ := f.copy.tree.Get([]byte("p/run-1/000000"))
	entry.Value = []byte("2")
	if _, err := f.Prove(context.Background(), s, s.elect()); !errors.Is(err, ErrDigest) || f.Status().State != Empty {
		t.Errorf("proven with %v, the state is %s", err, f.Status().State)
	}
}

// A copy of a term that is not older than the new one is not proven.
func TestCopyOfTheSameTermIsNotProven(t *testing.T) {
	s := newService()
	l := newLeader(s)
	f := follow("n1", map[string]*Source{"l": l.source})
	f.Pull("l", l.term)
	if _, err := f.Prove(context.Background(), s, l.term); !errors.Is(err, ErrNoCopy) {
		t.Errorf("proven with %v", err)
	}
}

// Views arrive unchanged, and dropped views are absent.
func TestViewsArrive(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	s := newService()
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
	f := follow("n1", map[string]*Source{"l": l.source})
	f.Pull("l", l.term)
	p, err := f.Prove(context.Background(), s, s.elect())
	if err != nil {
		t.Fatal(err)
	}
	if len(p.Jobs) != 699 || len(p.Machines) != 299 {
		t.Fatalf("%d jobs and %d machines arrive", len(p.Jobs), len(p.Machines))
	}
	for i := range p.Jobs {
		tasks, err := p.Jobs[i].RunningTasks()
		if err != nil || !slices.Equal(tasks, want[p.Jobs[i].UID]) {
			t.Errorf("%s: %v arrive (%v), expected %v", p.Jobs[i].UID, tasks, err, want[p.Jobs[i].UID])
		}
	}
}

// A transfer that is no longer requested is dropped, and a node that is not a member gets nothing.
func TestSourceDropsAbandonedTransfersAndRefusesStrangers(t *testing.T) {
	l := newLargeLeader(newService())
	now := time.Unix(1000, 0)
	l.source.now = func() time.Time { return now }
	first, err := l.source.Follow(peer.FollowArgs{From: "n1", Term: l.term})
	if err != nil || first.Last || first.Transfer == 0 {
		t.Fatalf("the first part is %+v, %v", first, err)
	}
	now = now.Add(2 * time.Minute)
	if r, _ := l.source.Follow(peer.FollowArgs{From: "n1", Term: l.term, Transfer: first.Transfer, Part: 1}); r.Transfer != 0 {
		t.Errorf("part %d of an old transfer is sent", r.Part)
	}
	for _, args := range []peer.FollowArgs{{From: "n9", Term: l.term}, {From: "n1", Term: l.term - 1}} {
		if r, _ := l.source.Follow(args); r.Leading || len(r.Body) > 0 {
			t.Errorf("%+v gets %d bytes", args, len(r.Body))
		}
	}
}
