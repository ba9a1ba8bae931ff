package httpapi

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/labstack/echo/v4"

	"lotusstile.dev/lotusstile/internal/admission"
	"lotusstile.dev/lotusstile/internal/config"
)

// fakeOperations implements only CountRequest, which does nothing.
type fakeOperations struct{ Operations }

func (fakeOperations) CountRequest(string, int) {}

// Users' requests are refused at once with a Retry-After while the node answers the maximum number
// of them, and while it is overloaded.
func TestUsersAreRefusedUnderOverload(t *testing.T) {
	s := &Server{Options: Options{
		Config:      &config.Config{},
		Load:        admission.NewLoadMonitor(time.Second, 2),
		Connections: admission.NewConnections(64, time.Second),
		Operations:  fakeOperations{},
		Serving:     func() bool { return true },
	}}
	e := echo.New()
	release, entered := make(chan struct{}), make(chan struct{}, 8)
	e.POST("/work", s.userHandler(func(c echo.Context) error {
		entered <- struct{}{}
		<-release
		return c.NoContent(http.StatusCreated)
	}))
	submit := func() *httptest.ResponseRecorder {
		rec := httptest.NewRecorder()
		e.ServeHTTP(rec, httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/work", nil))
		return rec
	}
	answers := make(chan int, 2)
	for range 2 {
		go func() { answers <- submit().Code }()
		<-entered
	}
	if rec := submit(); rec.Code != http.StatusServiceUnavailable || rec.Header().Get(echo.HeaderRetryAfter) == "" {
		t.Errorf("over the limit: got %d with Retry-After %q, want 503 with a Retry-After", rec.Code, rec.Header().Get(echo.HeaderRetryAfter))
	}
	close(release)
	for range 2 {
		if code := <-answers; code != http.StatusCreated {
			t.Errorf("a request within the limit got status %d, want 201", code)
		}
	}
	if code := submit().Code; code != http.StatusCreated {
		t.Errorf("a request after the others ended got status %d, want 201", code)
	}
	s.Load.Record(time.Minute)
	if !s.Load.IsOverloaded() {
		t.Error("IsOverloaded() = false although timers fire a minute late, want true")
	}
	if rec := submit(); rec.Code != http.StatusServiceUnavailable || rec.Header().Get(echo.HeaderRetryAfter) == "" {
		t.Errorf("overloaded: got %d with Retry-After %q, want 503 with a Retry-After", rec.Code, rec.Header().Get(echo.HeaderRetryAfter))
	}
}
