package autoscaler

import (
	"fmt"

	"lotusstile.dev/lotusstile/wire"
)

// Requests are the requests for machines that the cloud has not answered yet.
type Requests struct {
	term    uint64
	last    int // number of the last request
	pending map[string]wire.ProvisionRequest
}

// NewRequests makes the empty set of a term.
func NewRequests(term uint64) *Requests {
	return &Requests{term: term, pending: map[string]wire.ProvisionRequest{}}
}

// Add gives a request its ID and remembers it. The term and a counter make IDs that no node uses
// again.
func (r *Requests) Add(request Request) wire.ProvisionRequest {
	r.last++
	out := wire.ProvisionRequest{
		RequestID:   fmt.Sprintf("lt-%d-%d", r.term, r.last),
		MachineType: request.Type,
		Zone:        request.Zone,
		Spot:        request.Spot,
		Count:       request.Count,
	}
	r.pending[out.RequestID] = out
	return out
}

// Finish forgets a request that is answered or abandoned.
func (r *Requests) Finish(id string) { delete(r.pending, id) }

// Len is how many requests are not answered yet.
func (r *Requests) Len() int { return len(r.pending) }

// Each calls fn for every request that is not answered yet.
func (r *Requests) Each(fn func(wire.ProvisionRequest)) {
	for _, request := range r.pending {
		fn(request)
	}
}
