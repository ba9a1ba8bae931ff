package wire

import (
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

var decodeOptions = json.JoinOptions(jsontext.AllowDuplicateNames(true), jsontext.AllowInvalidUTF8(true))

// Decode decodes a JSON body of the protocol. It takes what encoding/json takes,
// but that names must match in case, in one pass instead of two: decoding reports
// was the largest single cost of a leader.
func Decode(data []byte, v any) error { return json.Unmarshal(data, v, decodeOptions) }
