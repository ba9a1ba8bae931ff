package standby

import (
	"fmt"
	"testing"

	"lotusstile.dev/lotusstile/wire"
)

// repeatedViews is a Views that returns the same views again after drained has been set to 0.
type repeatedViews struct {
	entries []*Entry
	drained int // number of entries returned since it was last 0
}

func (v *repeatedViews) DrainChangedViews(limit int) ([]*Entry, bool) {
	count := min(limit, len(v.entries)-v.drained)
	v.drained += count
	return v.entries[v.drained-count : v.drained], v.drained < len(v.entries)
}

// A follower receives the views of 4,096 and of 6,000 machines and of the largest allowed job, and keeps up while all
// of these views change. When the view of such a job could exceed the size limit of a part, the follower discarded its
// copy and started again endlessly.
func TestLargeFleetIsFollowed(t *testing.T) {
	for _, machines := range []int{4096, 6000} {
		views := &repeatedViews{}
		for i := range machines {
			v := MachineView{
				Host:        fmt.Sprintf("m-%06d", i),
				Address:     "10.1.0.232:9000",
				Type:        "g8",
				Zone:        "zone-a",
				Incarnation: 1,
				Images:      []string{"image-1", "image-2"},
			}
			e, err := v.Entry()
			if err != nil {
				t.Fatal(err)
			}
			views.entries = append(views.entries, e)
		}
		largest := JobView{UID: "run-000001"}
		tasks := make([]RunningTask, 0, wire.MaxTasks)
		for i := range wire.MaxTasks {
			tasks = append(tasks, RunningTask{Task: i, Attempt: 1 << 40, StartedS: int64(i) << 10})
		}
		if err := largest.SetRunning(tasks); err != nil {
			t.Fatal(err)
		}
		e, err := largest.Entry()
		if err != nil {
			t.Fatal(err)
		}
		views.entries = append(views.entries, e)
		l := newLeader(newFakeStore())
		l.source.Seed(views)
		f := followSources("n1", map[string]*Source{"l": l.source})
		for range 2 {
			f.Pull("l", l.term)
			st, offered := f.Status(), l.source.Status()
			if st.State != Following || st.Sequence != offered.Sequence || st.Entries != machines+1 || len(st.Refused) > 0 {
				t.Fatalf("with %d machines the follower is %s at %d with %d entries and refused %v, want following at %d with %d and none",
					machines, st.State, st.Sequence, st.Entries, st.Refused, offered.Sequence, machines+1)
			}
			views.drained = 0 // all views count as changed
		}
	}
}
