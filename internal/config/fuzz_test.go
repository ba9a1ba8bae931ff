package config

import (
	"reflect"
	"strings"
	"testing"
)

// Settings that are accepted are accepted with the same content if an unknown setting is added.
func FuzzParse(f *testing.F) {
	f.Add(strings.ReplaceAll(settingsText, "NEXT", "[cluster.state.next]\nvalue_kb = 2.0"))
	f.Add(strings.ReplaceAll(settingsText, "NEXT", "Rps = 1.0"))
	f.Add("label = \"a\"\n[[members]]\nlabel = 5")
	f.Fuzz(func(t *testing.T, text string) {
		c, err := Parse([]byte(text))
		if err != nil {
			return
		}
		for _, added := range []string{"unknown_setting = { a = [1] }\n", "LABEL = 5\n"} {
			name, _, _ := strings.Cut(added, " ")
			if strings.Contains(text, name) {
				continue // it would stand twice
			}
			if again, err := Parse([]byte(added + text)); err != nil || !reflect.DeepEqual(again, c) {
				t.Errorf("%q: got %+v, error %v; want %+v", added+text, again, err, c)
			}
		}
	})
}
