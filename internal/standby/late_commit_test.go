package standby

import (
	"context"
	"fmt"
	"testing"
)

// The input on which TestWhatIsProvenIsWhatIsListed once failed: a commit whose answer did not arrive is
// carried out late, after 13 commits of another key, and changes a key that an earlier commit had set.
// The standby proved the earlier value (revision 10), while the state store had the later one
// (revision 25).
func TestProofIncludesACommitCarriedOutLate(t *testing.T) {
	s := newService()
	l := newLeader(s)
	sources := map[string]*Source{"leader-0": l.source}
	standby := follow("n1", sources)
	const placement, machineReturn = "p/run-1/000000", "r/7-2"
	step := 0
	write := func(as outcome, drop bool, key string) {
		s.next = as
		l.write(fmt.Sprint(step), drop, key)
		step++
	}
	deliverLate := func() {
		s.deliverLate(0)
		step++
	}
	for range 8 {
		write(carriedOut, true, placement)
	}
	write(carriedOut, false, machineReturn)
	write(carriedOut, true, placement)
	deliverLate()
	write(lateRequest, false, machineReturn)
	for range 13 {
		write(carriedOut, true, placement)
	}
	deliverLate()
	write(carriedOut, true, placement)
	deliverLate()
	standby.Pull("leader-0", l.term)

	term := s.elect()
	for len(s.late) > 0 {
		s.deliverLate(0) // the compare of the leader's key refuses it
	}
	proven, err := standby.Prove(context.Background(), s, term)
	if err != nil {
		t.Fatalf("not proven: %v", err)
	}
	checkSameAsListed(t, s, proven)
	if item := s.items[machineReturn]; string(item.Value) != "11" || item.ModRevision != 25 {
		t.Errorf("the late commit was carried out as %s at revision %d, want 11 at revision 25", item.Value, item.ModRevision)
	}
}
