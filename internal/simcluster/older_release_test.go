package simcluster_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"lotusstile.dev/lotusstile/internal/peer"
	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// releaseHandler answers a node's peers as the node's release does. The release before cluster version 2 neither
// sends nor reads a version, ignores the dependencies of jobs, and supports neither relays nor standbys.
//
// It embeds only the methods that both releases answer alike. If it embedded all of peer.Handler, a method renamed
// there would no longer be overridden here, and the tests would not notice.
type releaseHandler struct {
	sameInAllReleases
	handler peer.Handler
	sc      *scenario
	node    int
}

// sameInAllReleases has the methods that both releases answer alike.
type sameInAllReleases interface {
	ApplyCancellation(c peer.Cancellation)
	LeadStatus() *wire.LeadStatus
	Counts(a peer.CountsArgs) peer.CountsReply
	RelayHeartbeat(a peer.CheckInArgs) peer.CheckInReply
	RelayHeartbeats(b peer.HeartbeatBatch) (peer.HeartbeatBatchReply, error)
}

var _ peer.Handler = releaseHandler{}

func newReleaseHandler(handler peer.Handler, sc *scenario, node int) releaseHandler {
	return releaseHandler{sameInAllReleases: handler, handler: handler, sc: sc, node: node}
}

// Ping answers a ping with the fields that the releases of both the node and the caller support.
func (r releaseHandler) Ping(a peer.PingArgs) peer.PingResult {
	reply := r.handler.Ping(a)
	if r.sc.olderRelease[r.node] || r.sc.olderRelease[slices.Index(nodeNames, a.From)] {
		reply.Version = 0
		reply.CanRelay, reply.WantsRelays = false, false
		reply.CanFollow, reply.Standby = false, ""
	}
	return reply
}

// FollowState answers a standby. The older release does not have this method.
func (r releaseHandler) FollowState(a peer.FollowArgs) (peer.FollowReply, error) {
	if r.sc.olderRelease[r.node] {
		return peer.FollowReply{}, errors.New("rpc: can't find method Controller.FollowState")
	}
	return r.handler.FollowState(a)
}

// ServeUserRequest answers a request that a peer forwards.
func (r releaseHandler) ServeUserRequest(a peer.UserArgs) peer.UserReply {
	if r.sc.olderRelease[r.node] {
		a.Body = dropDependencies(a.Body)
	}
	return r.handler.ServeUserRequest(a)
}

// withoutDependencies answers users as the older release does, which ignores the dependencies of jobs.
func withoutDependencies(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		body = dropDependencies(body)
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
		h.ServeHTTP(w, r)
	})
}

// dropDependencies removes the dependencies, the field Awaits, from a submission.
func dropDependencies(body []byte) []byte {
	fields := map[string]json.RawMessage{}
	if json.Unmarshal(body, &fields) != nil || fields["Awaits"] == nil {
		return body
	}
	delete(fields, "Awaits")
	changed, err := json.Marshal(fields)
	if err != nil {
		panic(err)
	}
	return changed
}

// upgradeNode crashes a node of the older release and starts it, after downtime, with the new release.
func (sc *scenario) upgradeNode(i int, downtime time.Duration) {
	sc.t.Helper()
	sc.crashNode(i)
	sc.olderRelease[i] = false
	time.Sleep(downtime)
	sc.startNode(i)
}

// olderReleaseTransport sends the requests of a node that runs the older release, which announces no version in the
// state store.
type olderReleaseTransport struct{ http.RoundTripper }

// RoundTrip answers announcements of a version with 503 and sends all other requests.
func (u olderReleaseTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if req.Body != nil {
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return nil, err
		}
		req.Body = io.NopCloser(bytes.NewReader(body))
		if bytes.Contains(body, []byte(records.ReleasePrefix)) {
			return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody, Request: req}, nil
		}
	}
	return u.RoundTripper.RoundTrip(req)
}
