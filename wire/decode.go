package wire

import (
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// decodeOptions make the decoder accept what encoding/json accepts.
var decodeOptions = json.JoinOptions(jsontext.AllowDuplicateNames(true), jsontext.AllowInvalidUTF8(true))

// Decode decodes a JSON body of the protocol. It accepts what encoding/json accepts, but names must match
// in case, and it needs one pass instead of two: decoding heartbeats was the largest single cost of a
// leader.
func Decode(data []byte, v any) error { return json.Unmarshal(data, v, decodeOptions) }
