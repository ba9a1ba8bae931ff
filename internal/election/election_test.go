package election

import (
	"context"
	"testing"
)

// A token in a worker's report, or a ping, may tell a newer term before the
// leader of that term has told its name. The name must still be taken when it
// comes: a node that cannot read the state service has no other source for it,
// and else keeps workers that belong to the leader.
func TestNameOfNewerTermIsTakenLater(t *testing.T) {
	e := New(nil, "a", 1, func(context.Context, uint64) {})
	e.Saw(7, "")
	e.Saw(7, "b")
	if v := e.View(); v.Term != 7 || v.Leader != "b" {
		t.Fatalf("view is %+v", v)
	}
	e.Saw(6, "c")
	if v := e.View(); v.Term != 7 || v.Leader != "b" {
		t.Fatalf("an older term changed the view to %+v", v)
	}
}
