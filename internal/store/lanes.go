package store

import "context"

// lane is the priority lane of a request: how it shares this node's budget with other requests.
type lane int

const (
	// recordsLane, the default, is for commits and reads of the leader's records. They wait until
	// the budget allows them.
	recordsLane lane = iota
	// urgentLane is for requests that must not queue, above all renewals of the leader's lease. They
	// never wait.
	urgentLane
	// userLane is for changes that users ask for. They are refused at once if they exceed the budget.
	userLane
	// backgroundLane is for commits that nothing waits for. They use only what recordsLane leaves
	// unused.
	backgroundLane
	// lookupLane is for reads of single records that answer a user. They have their own budget.
	lookupLane
	// sharedReadLane is for reads that answer many users at once. Their sender limits their rate.
	sharedReadLane
)

// laneKey is the context key of a request's lane.
type laneKey struct{}

// reservedShareKey is the context key of reservedShare; see WithUserLane.
type reservedShareKey struct{}

// WithUrgentLane marks requests that must not wait for this node's request budget behind its other
// requests.
func WithUrgentLane(ctx context.Context) context.Context {
	return context.WithValue(ctx, laneKey{}, urgentLane)
}

// WithUserLane marks changes that a user asks for. A commit that exceeds the budget is refused at once
// with a *BusyError that tells the user when to try again. The commit must leave reservedShare (0 to
// 1) of the budget's burst unused, for users of higher priority.
func WithUserLane(ctx context.Context, reservedShare float64) context.Context {
	return context.WithValue(context.WithValue(ctx, laneKey{}, userLane), reservedShareKey{}, reservedShare)
}

// WithBackgroundLane marks commits that are useful but that nothing waits for. A commit is refused
// if it would leave less than half of the write budget's burst for records.
func WithBackgroundLane(ctx context.Context) context.Context {
	return context.WithValue(ctx, laneKey{}, backgroundLane)
}

// WithLookupLane marks reads of single records that answer a user. A read is refused with an
// *aimd.BusyError if its budget does not allow it before the deadline of ctx.
func WithLookupLane(ctx context.Context) context.Context {
	return context.WithValue(ctx, laneKey{}, lookupLane)
}

// WithSharedReadLane marks reads that answer many users at once. The client sends them without
// waiting: their sender has waited for Client.SharedReadLimiter already.
func WithSharedReadLane(ctx context.Context) context.Context {
	return context.WithValue(ctx, laneKey{}, sharedReadLane)
}

// laneOf returns the lane of a context; recordsLane if none was set.
func laneOf(ctx context.Context) lane {
	if requested, ok := ctx.Value(laneKey{}).(lane); ok {
		return requested
	}
	return recordsLane
}
