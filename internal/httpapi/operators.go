package httpapi

import (
	"bytes"
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	"lotusstile.dev/lotusstile/internal/records"
	"lotusstile.dev/lotusstile/internal/store"
	"lotusstile.dev/lotusstile/wire"
)

// metrics writes the metrics in the Prometheus text format.
func (s *Server) metrics(c echo.Context) error {
	var out bytes.Buffer
	s.Operations.WriteMetrics(&out)
	return c.Blob(http.StatusOK, "text/plain; version=0.0.4", out.Bytes())
}

// status answers with the state of this node and, if the leader is reachable, of the whole service.
func (s *Server) status(c echo.Context) error { return c.JSON(http.StatusOK, s.Operations.Status()) }

// settings answers with the operators' settings in force.
func (s *Server) settings(c echo.Context) error {
	return c.JSON(http.StatusOK, s.Settings.Current())
}

// changeSettings changes the operators' settings. Fields left out of the body keep their values.
// Stamp must be the mod revision of the settings in force: otherwise the answer is 409 with those
// settings.
func (s *Server) changeSettings(c echo.Context) error {
	body, err := readBody(c)
	if err != nil {
		return err
	}
	change, err := wire.ParseSettingsChange(body)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	current := s.Settings.Current()
	if current.ModRevision != *change.ModRevision {
		return c.JSON(http.StatusConflict, current)
	}
	next := change.ApplyTo(*current)
	if err := records.ValidateSettings(next); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	var conflict *store.ConflictError
	switch err := s.Settings.Change(c.Request().Context(), next); {
	case errors.As(err, &conflict):
		return c.JSON(http.StatusConflict, s.Settings.Current())
	case err != nil:
		return retryLater("cannot be recorded now")
	}
	return c.JSON(http.StatusOK, s.Settings.Current())
}
