package fakestore

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"lotusstile.dev/lotusstile/internal/simcluster/jsonhttp"
	"lotusstile.dev/lotusstile/wire"
)

const (
	// maxListed is the largest number of items in a page of a listing.
	maxListed = 1000
	// minLeaseTTLMs is the shortest time to live, in milliseconds, for which a lease is granted.
	minLeaseTTLMs = 100
	// leaseCheckInterval is how often an open watch checks for leases that have expired.
	leaseCheckInterval = 100 * time.Millisecond
)

// revisionReply is the body of the answer to a read of a key that does not exist.
type revisionReply struct {
	Revision uint64 `json:"Epoch"`
}

// ServeHTTP serves the protocol of the state store.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	overRate := s.limits.isOverRequestRate()
	s.mu.Unlock()
	if overRate {
		replyError(w, http.StatusTooManyRequests, "too many requests")
		return
	}
	if r.URL.Path == "/changes" {
		s.serveWatch(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if s.down {
		replyError(w, http.StatusServiceUnavailable, "trouble")
		return
	}
	switch path := r.URL.Path; {
	case path == "/kv":
		s.serveList(w, r.URL.Query())
	case strings.HasPrefix(path, "/kv/"):
		s.serveGet(w, strings.TrimPrefix(path, "/kv/"))
	case path == "/commit":
		s.serveCommit(w, r)
	case path == "/holds":
		s.serveGrant(w, r)
	case strings.HasPrefix(path, "/holds/"):
		s.serveLease(w, r)
	default:
		replyError(w, http.StatusBadRequest, "malformed")
	}
}

func replyError(w http.ResponseWriter, status int, text string) {
	jsonhttp.Reply(w, status, wire.ErrorResponse{Error: text})
}

// serveGet answers a read of one key. s.mu is held.
func (s *Store) serveGet(w http.ResponseWriter, key string) {
	if item, ok := s.items[key]; ok {
		jsonhttp.Reply(w, http.StatusOK, item)
	} else {
		jsonhttp.Reply(w, http.StatusNotFound, revisionReply{s.revision})
	}
}

// serveList answers a request for a page of a listing. s.mu is held.
func (s *Store) serveList(w http.ResponseWriter, query url.Values) {
	pageSize, _ := strconv.Atoi(query.Get("Most"))
	if pageSize <= 0 || pageSize > maxListed {
		pageSize = maxListed
	}
	keys := s.keysAfter(query.Get("Under"), query.Get("After"))
	response := wire.KeyValueList{Revision: s.revision, More: len(keys) > pageSize, KeyValues: []wire.KeyValue{}}
	for _, key := range keys[:min(pageSize, len(keys))] {
		response.KeyValues = append(response.KeyValues, s.items[key])
	}
	jsonhttp.Reply(w, http.StatusOK, response)
}

// serveGrant grants a new lease. s.mu is held.
func (s *Store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var request wire.LeaseRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil || request.TTLMs < minLeaseTTLMs {
		replyError(w, http.StatusBadRequest, "malformed")
		return
	}
	s.lastLeaseID++
	ttl := time.Duration(request.TTLMs) * time.Millisecond
	s.leases[s.lastLeaseID] = &lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	jsonhttp.Reply(w, http.StatusOK, wire.Lease{LeaseID: s.lastLeaseID})
}

// serveLease renews or ends a lease. s.mu is held.
func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	number := strings.TrimSuffix(strings.TrimPrefix(r.URL.Path, "/holds/"), "/touch")
	id, _ := strconv.ParseUint(number, 10, 64) // 0 if it is not a number: no lease has that ID
	l := s.leases[id]
	switch {
	case l == nil:
		replyError(w, http.StatusNotFound, "no such lease")
	case r.Method == http.MethodDelete:
		s.endLease(id)
		jsonhttp.Reply(w, http.StatusOK, struct{}{})
	default:
		l.expiresAt = time.Now().Add(l.ttl)
		jsonhttp.Reply(w, http.StatusOK, struct{}{})
	}
}

// serveCommit executes a transaction. s.mu is held.
func (s *Store) serveCommit(w http.ResponseWriter, r *http.Request) {
	var tx wire.Transaction
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		replyError(w, http.StatusBadRequest, "malformed")
		return
	}
	if s.limits.rejectOversized(tx) {
		replyError(w, http.StatusBadRequest, "over the limits")
		return
	}
	if s.limits.isOverWriteRate(tx) {
		replyError(w, http.StatusTooManyRequests, "too many changes")
		return
	}
	for _, change := range tx.Changes {
		if change.LeaseID != 0 && s.leases[change.LeaseID] == nil {
			replyError(w, http.StatusBadRequest, "no such lease")
			return
		}
	}
	if failed := s.failedCompares(tx.Compares); len(failed) > 0 {
		jsonhttp.Reply(w, http.StatusConflict, wire.TransactionResponse{Revision: s.revision, Failed: failed})
		return
	}
	if s.OnCommit != nil {
		s.OnCommit(tx)
	}
	s.apply(tx.Changes)
	jsonhttp.Reply(w, http.StatusOK, wire.TransactionResponse{Revision: s.revision})
}

// serveWatch waits until a key under a prefix has changed after a revision, or until the request's HoldMs has
// elapsed. In an outage the watch stays open until then, and is answered with 503.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("After"), 10, 64)
	holdMs, _ := strconv.Atoi(query.Get("HoldMs"))
	timeout := time.NewTimer(time.Duration(holdMs) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		s.expireLeases()
		response := wire.WatchResponse{Revision: s.revision, Events: s.eventsAfter(query.Get("Under"), after)}
		down := s.down
		changed := make(chan struct{})
		s.waiters[changed] = true
		// Leases expire only when a request checks them, and no other request may come: check again soon.
		leaseCheck := time.NewTimer(leaseCheckInterval)
		s.mu.Unlock()
		if len(response.Events) > 0 && !down {
			leaseCheck.Stop()
			jsonhttp.Reply(w, http.StatusOK, response)
			return
		}
		select {
		case <-changed:
		case <-leaseCheck.C:
		case <-r.Context().Done():
			return
		case <-timeout.C:
			if !down {
				jsonhttp.Reply(w, http.StatusOK, wire.WatchResponse{Revision: after})
				return
			}
			replyError(w, http.StatusServiceUnavailable, "trouble")
			return
		}
		leaseCheck.Stop()
	}
}
