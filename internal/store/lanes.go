package store

import "context"

// lane is the priority lane of a request: how it shares this node's budget with other requests.
type lane int

const (
	// recordsLane waits its turn. It is the default: commits and reads of the leader's records.
	recordsLane lane = iota
	// urgentLane never waits: the leader's lease depends on it.
	urgentLane
	// userLane is for changes that users ask for. They are refused at once if there is no room.
	userLane
	// backgroundLane only takes what the recordsLane leaves unused.
	backgroundLane
	// lookupLane is for reads of single records that answer a user. They have a budget of their own.
	lookupLane
	// sharedReadLane is for reads that answer many users at once. Their sender has paced them.
	sharedReadLane
)

// laneKey is the context key of a request's lane.
type laneKey struct{}

// reservedShareKey is the context key of the share of the user write budget's burst that a commit
// must leave unused.
type reservedShareKey struct{}

// WithUrgentLane marks requests that must not queue behind others of this node for its share of
// the request rate.
func WithUrgentLane(ctx context.Context) context.Context {
	return context.WithValue(ctx, laneKey{}, urgentLane)
}

// WithUserLane marks changes that a user asks for. A commit that does not fit into the budget is
// refused at once with a *BusyError that tells the user when to come back. It leaves
// reservedShare (0 to 1) of the budget's burst to users of higher priority.
func WithUserLane(ctx context.Context, reservedShare float64) context.Context {
	return context.WithValue(context.WithValue(ctx, laneKey{}, userLane), reservedShareKey{}, reservedShare)
}

// WithBackgroundLane marks commits that are useful but that nothing waits for. They are refused
// while less than half of the budget's burst is left for records.
func WithBackgroundLane(ctx context.Context) context.Context {
	return context.WithValue(ctx, laneKey{}, backgroundLane)
}

// WithLookupLane marks reads of single records that answer a user. They are refused with an
// *aimd.BusyError if their budget has no room before ctx ends.
func WithLookupLane(ctx context.Context) context.Context {
	return context.WithValue(ctx, laneKey{}, lookupLane)
}

// WithSharedReadLane marks reads that answer many users at once. They wait for no budget: their
// sender has waited for Client.SharedReadLimiter.
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
