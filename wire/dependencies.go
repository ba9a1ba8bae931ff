package wire

import (
	"encoding/json"
	"fmt"
	"slices"
)

// parseDependencies validates the ids of the jobs that a job depends on, and removes duplicates.
func parseDependencies(ids []string) ([]string, error) {
	var dependencies []string
	for _, id := range ids {
		if !ValidUID(id) {
			return nil, fmt.Errorf("field Awaits has an id that has not the form run-000000: %.40q", id)
		}
		if !slices.Contains(dependencies, id) {
			dependencies = append(dependencies, id)
		}
	}
	return dependencies, nil
}

// HasDependencies reports whether a submission names jobs that it depends on. It returns false if the
// body is not a JSON object. The other fields of the body need not be valid.
func HasDependencies(body []byte) bool {
	var in struct {
		Dependencies json.RawMessage `json:"Awaits"`
	}
	if err := Decode(body, &in); err != nil {
		return false
	}
	switch string(in.Dependencies) {
	case "", "null", "[]":
		return false
	}
	return true
}
