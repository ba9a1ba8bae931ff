package store

import (
	"net/http"
	"net/http/httptest"
	"strings"
)

// lossyStore is a state store that never answers commits, and reads only if it is reachable.
type lossyStore struct{ reachable bool }

func (s *lossyStore) RoundTrip(r *http.Request) (*http.Response, error) {
	if strings.HasSuffix(r.URL.Path, commitPath) || !s.reachable {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return answer(http.StatusOK, "{}"), nil
}

// fixedStore is a state store that gives every request the same answer.
type fixedStore struct {
	status int
	body   string
}

func (s fixedStore) RoundTrip(*http.Request) (*http.Response, error) {
	return answer(s.status, s.body), nil
}

// answer makes the response of a fake store.
func answer(status int, body string) *http.Response {
	recorder := httptest.NewRecorder()
	recorder.WriteHeader(status)
	_, _ = recorder.WriteString(body) // the recorder writes to memory
	return recorder.Result()
}
