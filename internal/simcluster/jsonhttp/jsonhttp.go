// Package jsonhttp writes the JSON responses of the fakes. The fakes do not use the product's own writer,
// so that a fault in it cannot cancel itself out.
package jsonhttp

import (
	"encoding/json"
	"log/slog"
	"net/http"
)

// Reply answers a request with a status and a body in JSON. It panics if the body cannot be encoded, which
// would be a fault of a fake.
func Reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(data); err != nil {
		slog.Debug("response could not be written", "err", err)
	}
}
