package store

import (
	"net/http"
	"net/http/httptest"
	"strings"
)

// lossyStore is a state store that never answers commits. It answers reads only if it is reachable.
type lossyStore struct{ reachable bool }

func (s *lossyStore) RoundTrip(r *http.Request) (*http.Response, error) {
	if strings.HasSuffix(r.URL.Path, commitPath) || !s.reachable {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return newResponse(http.StatusOK, "{}"), nil
}

// fixedStore is a state store that gives every request the same answer.
type fixedStore struct {
	status int
	body   string
}

func (s fixedStore) RoundTrip(*http.Request) (*http.Response, error) {
	return newResponse(s.status, s.body), nil
}

// newResponse makes the response of a fake store.
func newResponse(status int, body string) *http.Response {
	recorder := httptest.NewRecorder()
	recorder.WriteHeader(status)
	_, _ = recorder.WriteString(body) // it writes to memory, which cannot fail
	return recorder.Result()
}
