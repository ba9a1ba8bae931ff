// Package jsonhttp writes the JSON responses of the fakes. The fakes do not use the product's own code for
// this: a fault that both sides shared would go unnoticed.
package jsonhttp

import (
	"encoding/json"
	"log/slog"
	"net/http"
)

// Reply answers a request with a status and a JSON body. It panics if the body cannot be encoded, which would
// be a programming error in a fake.
func Reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(data); err != nil {
		slog.Debug("failed to write response", "err", err)
	}
}
