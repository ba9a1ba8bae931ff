package httpapi

import (
	"net/http"
	"net/http/pprof"
	runtimepprof "runtime/pprof"

	"github.com/labstack/echo/v4"
)

// profile serves the profiles of net/http/pprof while the operators' settings allow it, since
// taking a profile costs processor time.
func (s *Server) profile(c echo.Context) error {
	if !s.Settings.Current().Profiling {
		return echo.NewHTTPError(http.StatusForbidden, "profiling is off: set Profiling in /admin/settings")
	}
	var handler http.Handler
	switch name := c.Param("name"); name {
	case "profile":
		handler = http.HandlerFunc(pprof.Profile)
	case "trace":
		handler = http.HandlerFunc(pprof.Trace)
	default:
		if runtimepprof.Lookup(name) == nil {
			return echo.NewHTTPError(http.StatusNotFound, "no such profile")
		}
		handler = pprof.Handler(name)
	}
	handler.ServeHTTP(c.Response(), c.Request())
	return nil
}
