package autoscaler

import (
	"fmt"

	"lotusstile.dev/lotusstile/wire"
)

// Requests holds the requests for machines that the cloud has not answered yet.
type Requests struct {
	term       uint64
	lastNumber int // number of the last request of this term
	pending    map[string]wire.ProvisionRequest
}

// NewRequests returns a Requests for a term, without any request.
func NewRequests(term uint64) *Requests {
	return &Requests{term: term, pending: map[string]wire.ProvisionRequest{}}
}

// Add gives a request an ID, marks it as pending and returns it in the form that is sent to the
// cloud. The ID consists of the term and a counter, so that no other request, of this or any other
// node, has the same ID: the cloud provisions the machines of an ID only once.
func (r *Requests) Add(request Request) wire.ProvisionRequest {
	r.lastNumber++
	sent := wire.ProvisionRequest{
		RequestID:   fmt.Sprintf("lt-%d-%d", r.term, r.lastNumber),
		MachineType: request.Type,
		Zone:        request.Zone,
		Spot:        request.Spot,
		Count:       request.Count,
	}
	r.pending[sent.RequestID] = sent
	return sent
}

// Finish removes a request that the cloud has answered or that the caller has given up.
func (r *Requests) Finish(id string) { delete(r.pending, id) }

// Len returns the number of requests that are not answered yet.
func (r *Requests) Len() int { return len(r.pending) }

// Each calls fn for every request that is not answered yet.
func (r *Requests) Each(fn func(wire.ProvisionRequest)) {
	for _, request := range r.pending {
		fn(request)
	}
}
