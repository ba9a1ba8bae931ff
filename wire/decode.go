package wire

import (
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// decodeOptions make the decoder accept what encoding/json accepts.
var decodeOptions = json.JoinOptions(jsontext.AllowDuplicateNames(true), jsontext.AllowInvalidUTF8(true))

// Decode decodes a JSON body of the protocol. Unlike encoding/json, it matches names case-sensitively;
// otherwise it accepts the same input. It takes one pass over the input where encoding/json takes two:
// with encoding/json, decoding heartbeats was the largest single cost of a leader.
func Decode(data []byte, v any) error { return json.Unmarshal(data, v, decodeOptions) }

// DecodeStrict decodes like Decode, but returns an error for a field that v does not have.
func DecodeStrict(data []byte, v any) error {
	return json.Unmarshal(data, v, decodeOptions, json.RejectUnknownMembers(true))
}
