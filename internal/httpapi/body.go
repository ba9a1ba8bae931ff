package httpapi

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

	"lotusstile.dev/lotusstile/wire"
)

// Keys of what a request's context carries.
const (
	bodyKey      = "body"      // []byte: the body, which has been read already
	forwardedKey = "forwarded" // set if a peer has forwarded the request
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

// readAll reads a body. length is the announced one, 0 or below if it is unknown: it only
// sizes the buffer, and a body of another length is read all the same.
func readAll(body io.Reader, length int64) ([]byte, error) {
	var buffer bytes.Buffer
	if length > 0 && length <= wire.MaxBody {
		buffer.Grow(int(length) + bytes.MinRead) // room to see the end without growing again
	}
	_, err := buffer.ReadFrom(body)
	return buffer.Bytes(), err
}
