package node

import (
	"net/http"
	"net/http/httptest"
	"strings"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/wire"
)

// always answers every request with a status and an empty object.
type always int

func (a *always) RoundTrip(*http.Request) (*http.Response, error) {
	rec := httptest.NewRecorder()
	rec.WriteHeader(int(*a))
	rec.WriteString("{}")
	return rec.Result(), nil
}

// losing is a state service that loses the answers to the first commits.
type losing struct {
	always
	lose int
}

func (l *losing) RoundTrip(r *http.Request) (*http.Response, error) {
	if strings.HasSuffix(r.URL.Path, "/commit") {
		if l.lose--; l.lose >= 0 {
			<-r.Context().Done()
			return nil, r.Context().Err()
		}
	}
	return l.always.RoundTrip(r)
}

// slowState answers every read of a key with a job that is not withdrawn, and lets
// something happen between the read and its answer.
type slowState struct {
	always
	meanwhile func()
}

func (s *slowState) RoundTrip(r *http.Request) (*http.Response, error) {
	if !strings.HasPrefix(r.URL.Path, "/kv/") {
		return s.always.RoundTrip(r)
	}
	rec := httptest.NewRecorder()
	rec.Body.Write(records.Encode(wire.KeyValue{Key: "j/run-000001", ModRevision: 7, Value: records.Encode(records.Job{Spec: wire.JobSpec{UID: "run-000001", TaskCount: 1}, Status: wire.JobQueued, TasksPerPlacement: 1})}))
	if s.meanwhile != nil {
		s.meanwhile()
	}
	return rec.Result(), nil
}
