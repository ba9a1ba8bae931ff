package wire

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"unicode"

	"pgregory.net/rapid"
)

// submissionFields returns the names of all fields of a submission.
func submissionFields() (names []string) {
	for field := range reflect.TypeFor[jobSpecBody]().Fields() {
		names = append(names, field.Tag.Get("json"))
	}
	return names
}

// genOtherCase draws a name that differs from name only in the case of its letters.
func genOtherCase(t *rapid.T, name string) string {
	letters := []rune(name)
	changed := rapid.SliceOfNDistinct(rapid.IntRange(0, len(letters)-1), 1, len(letters), rapid.ID[int]).Draw(t, "changed")
	for _, i := range changed {
		if unicode.IsUpper(letters[i]) {
			letters[i] = unicode.ToLower(letters[i])
		} else {
			letters[i] = unicode.ToUpper(letters[i])
		}
	}
	return string(letters)
}

// addField returns the JSON object body with one more field, in front of the others or behind them.
func addField(body []byte, name, value string, inFront bool) []byte {
	field, inner := `"`+name+`":`+value, strings.TrimSuffix(strings.TrimPrefix(string(body), "{"), "}")
	if inFront {
		return []byte("{" + field + "," + inner + "}")
	}
	return []byte("{" + inner + "," + field + "}")
}

// Names in JSON are case-sensitive, and unknown fields are ignored: a submission with a field like "uid" must
// not be accepted under another id, nor with other properties. Every function that reads the body ignores it.
func TestFieldsThatDifferInCaseChangeNothing(t *testing.T) {
	names := submissionFields()
	rapid.Check(t, func(t *rapid.T) {
		spec := genJobSpec(t)
		if rapid.Bool().Draw(t, "hasDependencies") {
			spec.Dependencies = []string{"run-000001"}
		}
		plain, err := json.Marshal(spec)
		if err != nil {
			t.Fatal(err)
		}
		body := plain
		for range rapid.IntRange(1, 4).Draw(t, "fields") {
			name := genOtherCase(t, rapid.SampledFrom(names).Draw(t, "name"))
			value := rapid.SampledFrom([]string{`"run-000777"`, `"x"`, `3`, `-1`, `true`, `null`, `["run-000777"]`, `{}`}).Draw(t, "value")
			body = addField(body, name, value, rapid.Bool().Draw(t, "inFront"))
		}
		got, err := ParseJobSpec(body)
		if err != nil || !reflect.DeepEqual(got, spec) {
			t.Fatalf("%s: got %+v, error %v; want %+v, no error", body, got, err, spec)
		}
		if uid, ok := UIDOf(body); uid != spec.UID || !ok {
			t.Fatalf("%s: got id %q, %v; want %q, true", body, uid, ok, spec.UID)
		}
		if got, want := HasDependencies(body), HasDependencies(plain); got != want {
			t.Fatalf("%s: got HasDependencies %v, want %v", body, got, want)
		}
	})
}

// A malformed submission is answered by its id if it has one, so its id must be that of the field Uid alone.
func TestUIDOfMalformedSubmissions(t *testing.T) {
	for body, want := range map[string]string{
		`{"Uid":"run-000412"}`:                             "run-000412",
		`{"Uid":"run-000412","Legs":"two"}`:                "run-000412",
		`{"Uid":"run-000412","uid":"run-000777"}`:          "run-000412",
		`{"Uid":"run-000412","uid":777}`:                   "run-000412",
		`{"uid":"run-000777","UID":"run-000777"}`:          "",
		`{"Uid":"run-12"}`:                                 "",
		`{"Uid":null}`:                                     "",
		`{"Uid":412}`:                                      "",
		`{"Uid":"run-000412"`:                              "",
		`{"Uid":"run-000412","Legs":}`:                     "",
		`{"Uid":"run-000412"} {"Uid":"run-000412"}`:        "",
		`["run-000412"]`:                                   "",
		`{"Spec":{"Uid":"run-000412"},"Rollout":"img-07"}`: "",
	} {
		if uid, ok := UIDOf([]byte(body)); ok != (want != "") || ok && uid != want {
			t.Errorf("%s: got id %q, %v; want %q, %v", body, uid, ok, want, want != "")
		}
	}
}
