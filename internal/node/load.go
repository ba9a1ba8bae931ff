package node

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"lotusstile.dev/lotusstile/internal/timeralign"
)

// load watches how far this node falls behind. Reports of workers are always
// taken; rounds that overrun start nothing and shrink; submissions are refused
// first, with word when to come back.
type load struct {
	lag    atomic.Int64 // how late timers fire, smoothed
	users  atomic.Int64 // users' requests being answered
	limit  time.Duration
	most   int64
	behind atomic.Bool
}

// lagSmoothing is over how many measurements the lag is smoothed.
const lagSmoothing = 3

// watch measures until ctx ends.
func (l *load) watch(ctx context.Context, grid timeralign.Grid, period time.Duration) {
	for ctx.Err() == nil {
		began := time.Now()
		wait := grid.UntilNext(began, period)
		time.Sleep(wait)
		late := time.Since(began) - wait
		lag := time.Duration(l.lag.Load())
		lag += (late - lag) / lagSmoothing
		l.lag.Store(int64(lag))
		if was, is := l.behind.Load(), lag > l.limit; was != is {
			l.behind.Store(is)
			slog.Warn("load", "behind", is, "lag", lag.String(), "users", l.users.Load())
		}
	}
}

// admit counts a user's request in, unless there is too much to do.
func (l *load) admit() bool {
	if l.behind.Load() {
		return false
	}
	if l.users.Add(1) > l.most {
		l.users.Add(-1)
		return false
	}
	return true
}

// done counts a request out.
func (l *load) done() { l.users.Add(-1) }
