package config

import (
	"reflect"
	"strings"
	"testing"
)

// Names in TOML are case-sensitive, and unknown settings are ignored: a setting of a later release, like "Label" or
// "Lease_S", must not replace one of another name, at any depth of the file.
func TestSettingsThatDifferInCaseAreIgnored(t *testing.T) {
	plain := strings.ReplaceAll(settingsText, "NEXT", "")
	want, err := Parse([]byte(plain))
	if err != nil {
		t.Fatal(err)
	}
	for _, change := range [][2]string{
		{`label = "a"`, "label = \"a\"\nLabel = \"b\""},
		{`label = "a"`, "LABEL = 5\nlabel = \"a\""},
		{`report_s = 1.0,`, `report_s = 1.0, Report_S = 3.0,`},
		{`teams = [{ name = "t" }]`, `teams = [{ name = "t", NAME = "other", Cpus_max = 3.0 }]`},
		{`[cluster.state]`, "[cluster.State]\nrps = 1.0\n[cluster.state]"},
		{`txn_ops = 20`, "txn_ops = 20\n[cluster.state.Next]\nrps = 1.0"},
		{`services = {`, "Members = [{ label = \"x\", endpoint = \"x:1\" }]\nservices = {"},
	} {
		text := strings.Replace(plain, change[0], change[1], 1)
		if text == plain {
			t.Fatalf("got no occurrence of %s in the settings, want one", change[0])
		}
		got, err := Parse([]byte(text))
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v, error %v; want %+v, no error", change[1], got, err, want)
		}
	}
	if _, err := Parse([]byte(strings.Replace(plain, `label = "a"`, `Label = "a"`, 1))); err == nil {
		t.Error("settings with Label in place of label: got no error, want one")
	}
}
