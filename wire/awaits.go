package wire

import (
	"encoding/json"
	"fmt"
	"slices"
)

// parseAwaits checks the ids of the jobs that a job waits for. An id that is
// repeated counts once.
func parseAwaits(ids []string) ([]string, error) {
	var awaits []string
	for _, id := range ids {
		if !ValidUID(id) {
			return nil, fmt.Errorf("field Awaits has an id that has not the form run-000000: %.40q", id)
		}
		if !slices.Contains(awaits, id) {
			awaits = append(awaits, id)
		}
	}
	return awaits, nil
}

// HasAwaits reports whether a submission names jobs that it waits for. The body may
// be malformed otherwise.
func HasAwaits(body []byte) bool {
	var in struct {
		Awaits json.RawMessage `json:"Awaits"`
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return false
	}
	switch string(in.Awaits) {
	case "", "null", "[]":
		return false
	}
	return true
}
