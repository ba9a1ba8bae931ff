package faultnet

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"
)

const (
	// maxLateness is the longest time after which a request caught in a partition is delivered.
	maxLateness = 40 * time.Second
	// Delayed commits and direct commands are executed after minDelay and a random extra delay of up to
	// maxExtraCommitDelay or maxExtraCommandDelay.
	minDelay             = 2 * time.Second
	maxExtraCommitDelay  = 10 * time.Second
	maxExtraCommandDelay = 14 * time.Second
	// minLatency and maxLatency bound the latency of a request or a response without extra latency.
	minLatency = 500 * time.Microsecond
	maxLatency = 3000 * time.Microsecond
	// lateDeliveryTimeout bounds the handling of a request that is delivered late.
	lateDeliveryTimeout = time.Second
	// refusedWatchPoll is how often an open watch checks whether requests of its node are still refused.
	refusedWatchPoll = 50 * time.Millisecond
)

var errNoResponse = errors.New("no response")

// Transport returns a RoundTripper that sends requests over the network as the given party.
func (n *Network) Transport(from string) http.RoundTripper { return transport{n, from} }

type transport struct {
	network *Network
	from    string
}

// RoundTrip carries one request.
func (t transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var body []byte
	if req.Body != nil {
		var err error
		if body, err = io.ReadAll(req.Body); err != nil {
			return nil, err
		}
	}
	t.network.waitWhilePaused(t.from)
	e := &exchange{network: t.network, link: link{t.from, req.URL.Host}, req: req, body: body}
	e.faults = t.network.drawRequestFaults(e.link, req.URL.Path)
	return e.run()
}

// requestFaults is what happens to one request: the faults of its link when it is sent, and the random faults
// that are drawn for it.
type requestFaults struct {
	reachable      bool // a handler is attached under the receiver's name
	partitioned    bool
	dropRequest    bool
	dropResponse   bool
	refused        bool
	commitDelayed  bool
	commitAtOnce   bool // a delayed commit is executed at once
	commandDelayed bool
	deliverLate    bool          // deliver it later if it is caught in a partition
	lateness       time.Duration // up to maxLateness
	latency        time.Duration // each way
}

// drawRequestFaults draws the faults of a request. A seed gives the same faults only as long as the order of
// the draws stays.
func (n *Network) drawRequestFaults(l link, path string) requestFaults {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := requestFaults{
		reachable:    n.handlers[l.to] != nil,
		partitioned:  n.faults.partitioned[l],
		dropRequest:  n.faults.dropRequests[l],
		dropResponse: n.faults.dropResponses[l],
		refused:      n.faults.refused[l],
		commitAtOnce: n.faults.commitsAtOnce,
	}
	f.commitDelayed = n.faults.delayedCommits > 0 && strings.HasSuffix(path, "/commit") && n.rng.Float64() < n.faults.delayedCommits
	f.commandDelayed = n.faults.delayedCommands > 0 && path == "/do" && n.rng.Float64() < n.faults.delayedCommands
	f.deliverLate = n.rng.Float64() < n.faults.lateDelivery
	f.lateness = time.Duration(n.rng.Int64N(int64(maxLateness)))
	f.latency = minLatency + time.Duration(n.rng.IntN(int((maxLatency-minLatency)/time.Microsecond)))*time.Microsecond
	if n.faults.extraLatency > 0 {
		f.latency += time.Duration(n.rng.Int64N(int64(n.faults.extraLatency)))
	}
	return f
}

// scaledLateness returns the drawn lateness, scaled from maxLateness to another maximum.
func (f requestFaults) scaledLateness(limit time.Duration) time.Duration {
	return f.lateness * (limit / time.Second) / (maxLateness / time.Second)
}

// loss reports whether the sender gets no response because of a fault before the arrival of the request (lost),
// and whether the request is executed nevertheless (delivered) and how much later (after).
func (f requestFaults) loss() (lost, delivered bool, after time.Duration) {
	switch {
	case f.commitDelayed && !f.partitioned && !f.refused && f.reachable:
		if f.commitAtOnce {
			return true, true, 0
		}
		return true, true, minDelay + f.scaledLateness(maxExtraCommitDelay)
	case f.commandDelayed && !f.partitioned && f.reachable:
		return true, true, minDelay + f.scaledLateness(maxExtraCommandDelay)
	case f.partitioned || f.dropRequest:
		return true, f.deliverLate && !f.dropRequest, f.lateness
	}
	return false, false, 0
}

// exchange is one request and its response.
type exchange struct {
	network *Network
	link    link
	req     *http.Request
	body    []byte
	faults  requestFaults
}

// run carries the request to its receiver and the response back.
func (e *exchange) run() (*http.Response, error) {
	ctx := e.req.Context()
	if lost, delivered, after := e.faults.loss(); lost {
		if delivered {
			go e.deliverLate(after) // the packets are delayed, not lost
		}
		return e.waitForTimeout()
	}
	if !e.wait(e.faults.latency) {
		return nil, ctx.Err()
	}
	if !e.faults.reachable {
		return nil, errNoResponse
	}
	if e.faults.refused {
		rec := httptest.NewRecorder()
		rec.WriteHeader(http.StatusServiceUnavailable)
		return rec.Result(), nil
	}
	responses := make(chan *httptest.ResponseRecorder, 1)
	go e.deliver(responses)
	select {
	case <-ctx.Done():
		return e.finishTimedOut(responses)
	case rec := <-responses:
		return e.returnResponse(rec)
	}
}

// wait waits for d. It returns false if the sender gives up meanwhile.
func (e *exchange) wait(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-e.req.Context().Done():
		return false
	case <-timer.C:
		return true
	}
}

// waitForTimeout blocks the sender until it gives up.
func (e *exchange) waitForTimeout() (*http.Response, error) {
	<-e.req.Context().Done()
	return nil, e.req.Context().Err()
}

// serve carries the request out.
func (e *exchange) serve(ctx context.Context, handler http.Handler) *httptest.ResponseRecorder {
	rec := httptest.NewRecorder()
	handler.ServeHTTP(rec, httptest.NewRequestWithContext(ctx, e.req.Method, e.req.URL.String(), bytes.NewReader(e.body)))
	return rec
}

// deliverLate carries the request out after a delay, whether its sender still waits or not.
func (e *exchange) deliverLate(after time.Duration) {
	time.Sleep(after)
	if handler := e.network.handler(e.link.to); handler != nil {
		ctx, cancel := context.WithTimeout(context.Background(), lateDeliveryTimeout)
		defer cancel()
		e.serve(ctx, handler)
	}
}

// deliver waits until the receiver is not paused and carries the request out, then waits again until the
// receiver is not paused and sends the response. It sends none if the receiver has left the network by the
// time that the request is to be executed.
func (e *exchange) deliver(responses chan<- *httptest.ResponseRecorder) {
	n := e.network
	n.waitWhilePaused(e.link.to)
	n.notifyObserver(e.link, e.req.URL.Path, false)
	n.waitWhilePaused(e.link.to)
	handler := n.handler(e.link.to)
	if handler == nil {
		return
	}
	rec := e.serve(e.req.Context(), handler)
	n.notifyObserver(e.link, e.req.URL.Path, true)
	n.waitWhilePaused(e.link.to)
	responses <- rec
}

// finishTimedOut ends the exchange when its sender has given up. A paused sender sees its timeout only when it
// is resumed. If the response has come meanwhile, either may be seen first.
func (e *exchange) finishTimedOut(responses <-chan *httptest.ResponseRecorder) (*http.Response, error) {
	e.network.waitWhilePaused(e.link.from)
	select {
	case rec := <-responses:
		if e.network.RandIntN(2) == 0 {
			return rec.Result(), nil
		}
	default:
	}
	return nil, e.req.Context().Err()
}

// returnResponse carries a response back to the sender.
func (e *exchange) returnResponse(rec *httptest.ResponseRecorder) (*http.Response, error) {
	e.network.waitWhilePaused(e.link.from)
	// While the store refuses the requests of a node, the node's open watches stay open without events, as in
	// an outage.
	for e.req.URL.Path == "/changes" && e.network.isRefused(e.link) {
		if !e.wait(refusedWatchPoll) {
			return nil, e.req.Context().Err()
		}
	}
	receiverEnded, partitioned := e.network.linkState(e.link)
	// A response that meets a partition does not arrive. The sender sees no closed connection either: it waits
	// until its timeout.
	if e.faults.dropResponse || partitioned {
		return e.waitForTimeout()
	}
	if receiverEnded || !e.wait(e.faults.latency) {
		return nil, errNoResponse
	}
	return rec.Result(), nil
}

// linkState reports whether the receiver of a link has left the network, and whether the link is partitioned.
func (n *Network) linkState(l link) (receiverEnded, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.handlers[l.to] == nil, n.faults.partitioned[l]
}
