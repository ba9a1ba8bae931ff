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

// fakeOperations counts no requests.
type fakeOperations struct{ Operations }

func (fakeOperations) CountRequest(string, int) {}

// Users are refused at once with a Retry-After while the node answers as many as it may, and while
// it is overloaded.
func TestUsersAreRefusedUnderOverload(t *testing.T) {
	s := &Server{Options: Options{
		Config:      &config.Config{},
		Load:        admission.NewLoadMonitor(time.Second, 2),
		Connections: admission.NewConnections(64, time.Second),
		Operations:  fakeOperations{},
		Serving:     func() bool { return true },
	}}
	e := echo.New()
	block, entered := make(chan struct{}), make(chan struct{}, 8)
	e.POST("/work", s.user(func(c echo.Context) error {
		entered <- struct{}{}
		<-block
		return c.NoContent(http.StatusCreated)
	}))
	ask := func() *httptest.ResponseRecorder {
		rec := httptest.NewRecorder()
		e.ServeHTTP(rec, httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/work", nil))
		return rec
	}
	answers := make(chan int, 2)
	for range 2 {
		go func() { answers <- ask().Code }()
		<-entered
	}
	if rec := ask(); rec.Code != http.StatusServiceUnavailable || rec.Header().Get(echo.HeaderRetryAfter) == "" {
		t.Errorf("a third request is answered %d, Retry-After %q", rec.Code, rec.Header().Get(echo.HeaderRetryAfter))
	}
	close(block)
	for range 2 {
		if code := <-answers; code != http.StatusCreated {
			t.Errorf("answered %d", code)
		}
	}
	if code := ask().Code; code != http.StatusCreated {
		t.Errorf("after the others have ended: %d", code)
	}
	s.Load.Record(time.Minute)
	if !s.Load.IsOverloaded() {
		t.Error("a node whose timers fire a minute late is not overloaded")
	}
	if rec := ask(); rec.Code != http.StatusServiceUnavailable || rec.Header().Get(echo.HeaderRetryAfter) == "" {
		t.Errorf("an overloaded node answers %d, Retry-After %q", rec.Code, rec.Header().Get(echo.HeaderRetryAfter))
	}
}
