package httpapi

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

	"lotusstile.dev/lotusstile/wire"
)

// Keys of the values in a request's echo.Context.
const (
	bodyKey      = "body"      // []byte: the body, already read
	forwardedKey = "forwarded" // bool: set if a peer forwarded the request
)

// readBody returns the body of a request. Its error is an *echo.HTTPError: 413 if the body is
// longer than wire.MaxBody, 400 if it cannot be read.
func readBody(c echo.Context) ([]byte, error) {
	if body, ok := c.Get(bodyKey).([]byte); ok {
		return body, nil
	}
	limited := http.MaxBytesReader(c.Response(), c.Request().Body, wire.MaxBody)
	data, err := readAll(limited, c.Request().ContentLength)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, echo.NewHTTPError(http.StatusRequestEntityTooLarge, "body is over 64 KiB")
	}
	if err != nil {
		return nil, echo.NewHTTPError(http.StatusBadRequest, "body cannot be read")
	}
	return data, nil
}

// readAll reads the whole body. length is the request's Content-Length, or -1 or 0 if that is
// unknown. It only sizes the buffer: a body of another length is read completely as well.
func readAll(body io.Reader, length int64) ([]byte, error) {
	var buffer bytes.Buffer
	if length > 0 && length <= wire.MaxBody {
		buffer.Grow(int(length) + bytes.MinRead) // ReadFrom needs MinRead free bytes to see the end
	}
	_, err := buffer.ReadFrom(body)
	return buffer.Bytes(), err
}
