package election

import (
	"context"
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// The same inputs every run; -rapid.seed draws others.
func init() { _ = flag.Set("rapid.seed", "1") }

// A fencing token in a worker's heartbeat, or a ping, may show a newer term before the
// leader of that term has announced its name. The name must still be learned when it
// comes: a node that cannot read the state store has no other source for it,
// and else keeps workers that it should redirect to the leader.
func TestLeaderOfNewerTermIsLearnedLater(t *testing.T) {
	e := New(Options{Node: "a", LeaseTTL: 1, Lead: func(context.Context, uint64) {}})
	e.ObserveTerm(7, "")
	if v := e.View(); v.Term != 7 || v.ConfirmedTerm != 0 {
		t.Fatalf("after a worker's fencing token the view is %+v", v)
	}
	e.ObserveTerm(7, "b")
	if v := e.View(); v.Term != 7 || v.ConfirmedTerm != 7 || v.Leader != "b" {
		t.Fatalf("view is %+v", v)
	}
	e.ObserveTerm(6, "c")
	if v := e.View(); v.Term != 7 || v.Leader != "b" {
		t.Fatalf("an older term changed the view to %+v", v)
	}
}

// In whatever order events of the leadership arrive, over watches, pings and
// fencing tokens, the known term never falls, a leader is only known for the newest
// term, and a node that leads an older term is stopped.
func TestTermNeverFalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New(Options{Node: "a", LeaseTTL: 1, Lead: func(context.Context, uint64) {}})
		names := map[uint64]string{} // who leads a term
		stopped := false
		e.ownTerm = rapid.Uint64Range(1, 10).Draw(t, "own")
		e.endTerm = func() { stopped = true }
		e.view = View{Leader: "a", Term: e.ownTerm, Synced: true}
		names[e.ownTerm] = "a"
		last := e.ownTerm
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			term := rapid.Uint64Range(1, 20).Draw(t, "term")
			if names[term] == "" {
				names[term] = rapid.SampledFrom([]string{"b", "c"}).Draw(t, "name")
			}
			switch rapid.IntRange(0, 3).Draw(t, "news") {
			case 0:
				e.ObserveTerm(term, "")
			case 1:
				e.ObserveTerm(term, names[term])
			case 2:
				record := records.Encode(records.Leader{Node: names[term]})
				event := wire.WatchEvent{Set: records.LeaderKey, Value: record, ModRevision: term}
				e.Apply(wire.WatchResponse{Events: []wire.WatchEvent{event}}, 0, time.Time{})
			case 3:
				event := wire.WatchEvent{Drop: records.LeaderKey, ModRevision: term}
				e.Apply(wire.WatchResponse{Events: []wire.WatchEvent{event}}, 0, time.Time{})
			}
			v := e.View()
			if v.ConfirmedTerm > v.Term {
				t.Fatalf("term %d is known, but the last one is %d", v.ConfirmedTerm, v.Term)
			}
			if v.Term < last {
				t.Fatalf("term fell from %d to %d", last, v.Term)
			}
			if v.Leader != "" && v.Leader != names[v.Term] {
				t.Fatalf("%s is taken for the leader of term %d, it is %s", v.Leader, v.Term, names[v.Term])
			}
			if v.Term > e.ownTerm && !stopped {
				t.Fatalf("term %d is known, but the leader of %d goes on", v.Term, e.ownTerm)
			}
			last = v.Term
		}
	})
}
