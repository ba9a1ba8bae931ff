package standby

import (
	"context"
	"fmt"
	"testing"
)

// The proof must include a commit that gets no answer and is executed late. Here the late commit sets a key that an
// earlier commit has set, and is executed after 13 commits of another key. TestWhatIsProvenIsWhatIsListed once failed
// with this input: the standby proved the earlier value (revision 10), while the state store had the later one
// (revision 25).
func TestProofIncludesACommitExecutedLate(t *testing.T) {
	s := newFakeStore()
	l := newLeader(s)
	sources := map[string]*Source{"leader-0": l.source}
	standby := followSources("n1", sources)
	const placement, machineRelease = "p/run-1/000000", "r/7-2"
	step := 0
	write := func(result outcome, drop bool, key string) {
		s.nextOutcome = result
		l.write(fmt.Sprint(step), drop, key)
		step++
	}
	executeDelayed := func() {
		s.executeDelayed(0)
		step++
	}
	for range 8 {
		write(executed, true, placement)
	}
	write(executed, false, machineRelease)
	write(executed, true, placement)
	executeDelayed()
	write(delayedRequest, false, machineRelease)
	for range 13 {
		write(executed, true, placement)
	}
	executeDelayed()
	write(executed, true, placement)
	executeDelayed()
	standby.Pull("leader-0", l.term)

	term := s.elect()
	for len(s.delayed) > 0 {
		s.executeDelayed(0) // the compare of the leader's key rejects the commit
	}
	proven, err := standby.Prove(context.Background(), s, term)
	if err != nil {
		t.Fatalf("Prove returned %v, want nil", err)
	}
	checkSameAsListed(t, s, proven)
	if item := s.items[machineRelease]; string(item.Value) != "11" || item.ModRevision != 25 {
		t.Errorf("the late commit has set %s at revision %d, want 11 at revision 25", item.Value, item.ModRevision)
	}
}
