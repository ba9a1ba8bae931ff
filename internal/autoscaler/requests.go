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

// NewRequests returns the empty set of a term.
func NewRequests(term uint64) *Requests {
	return &Requests{term: term, pending: map[string]wire.ProvisionRequest{}}
}

// Add adds a request as pending and returns it as it is sent to the cloud, with its ID. The ID
// consists of the term and a counter, so that no other request of any node has it: the cloud
// provisions the machines of one ID once.
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

// Finish removes a request that is answered or abandoned.
func (r *Requests) Finish(id string) { delete(r.pending, id) }

// Len returns the number of requests that are not answered yet.
func (r *Requests) Len() int { return len(r.pending) }

// Each calls fn for every request that is not answered yet.
func (r *Requests) Each(fn func(wire.ProvisionRequest)) {
	for _, request := range r.pending {
		fn(request)
	}
}
