package wire

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"
)

// Each target runs its seed corpus with the other tests. go test -fuzz=FuzzParseJobSpec ./wire looks for more inputs.

const fuzzedSubmission = `{"Uid":"run-000412","Berth":"train","Crew":"vision","Shape":"sweep","Rank":"high","Legs":16,` +
	`"Cores":8.0,"Gpus":1.0,"RamGb":64.0,"Rollout":"img-07","ImageGb":6.2,"Rigs":["g8"],"Yard":"a","Together":true,` +
	`"Scatter":false,"Standby":true,"ExpectS":240.0,"MarkS":30.0,"StowS":4.0,"DueS":900.0,"Awaits":["run-000398"]}`

// A submission that is accepted encodes to one that is accepted with the same content, an unknown field changes
// nothing, and all functions that read the body agree on it.
func FuzzParseJobSpec(f *testing.F) {
	f.Add([]byte(fuzzedSubmission))
	f.Add(addField([]byte(fuzzedSubmission), "uid", `"run-000777"`, false))
	f.Add(addField([]byte(fuzzedSubmission), "Uid", `null`, true))
	f.Add([]byte(` {"Uid":"run-000412","Awaits":[ ]}`))
	f.Add([]byte(`{"Uid":"run-000412`))
	f.Fuzz(func(t *testing.T, body []byte) {
		spec, err := ParseJobSpec(body)
		uid, hasUID := UIDOf(body)
		if err != nil {
			return
		}
		if uid != spec.UID || !hasUID {
			t.Errorf("%q: UIDOf returned %q, %v, ParseJobSpec %q", body, uid, hasUID, spec.UID)
		}
		if len(spec.Dependencies) > 0 && !HasDependencies(body) {
			t.Errorf("%q: HasDependencies returned false, want true for %v", body, spec.Dependencies)
		}
		encoded, err := json.Marshal(spec)
		if err != nil {
			t.Fatal(err)
		}
		for _, same := range [][]byte{encoded, addField(encoded, "Colour", `{"a":[1]}`, true), addField(encoded, "legs", `0`, false)} {
			if again, err := ParseJobSpec(same); err != nil || !reflect.DeepEqual(again, spec) {
				t.Errorf("%q: got %+v, error %v; want %+v", same, again, err, spec)
			}
		}
	})
}

// checkStable decodes data into a new body and checks, if it is accepted, that its encoding decodes to the same
// encoding again, also with an unknown field.
func checkStable[T any](t *testing.T, data []byte) {
	t.Helper()
	var body T
	if Decode(data, &body) != nil {
		return
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		t.Fatalf("%T accepted from %q cannot be encoded: %v", body, data, err)
	}
	for _, same := range [][]byte{encoded, addField(encoded, "Colour", `null`, false)} {
		var again T
		if err := Decode(same, &again); err != nil {
			t.Fatalf("%T: %q is refused: %v", body, same, err)
		}
		if reencoded, err := json.Marshal(again); err != nil || !bytes.Equal(reencoded, encoded) {
			t.Fatalf("%T: %q encodes again as %q, error %v", body, encoded, reencoded, err)
		}
	}
}

// Reports of machines.
func FuzzParseHeartbeat(f *testing.F) {
	f.Add([]byte(`{"Host":"m-000231","Address":"10.1.0.232:9000","Rig":"g8","Yard":"a","Standby":true,"Shift":1,"Tick":88,` +
		`"Baton":41,"WarningS":null,"Legs":[{"Leg":"run-000412/3","Try":2,"Status":"running"},` +
		`{"Leg":"run-000398/0","Try":1,"Status":"ended","Cause":"stopped","Kept":true}]}`))
	f.Add([]byte(`{"Host":"m","host":"other","Shift":1,"Tick":18446744073709551615,"Legs":null}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		heartbeat, err := ParseHeartbeat(body)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(heartbeat)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := ParseHeartbeat(addField(encoded, "HOST", `"other"`, false)); err != nil || !reflect.DeepEqual(again, heartbeat) {
			t.Errorf("%q: got %+v, error %v; want %+v", encoded, again, err, heartbeat)
		}
	})
}

// Answers of the cloud and of the state store.
func FuzzAnswers(f *testing.F) {
	for _, answer := range []string{
		`{"Rigs":[{"Sku":"g8","Cores":96,"Gpus":8,"RamGb":768,"LocalGb":200,"PullGbPerS":1.0,` +
			`"Hourly":12.0,"LowPrice":4.5,"BootS":45,"Yards":["a"]}]}`,
		`{"Hosts":["m-000231"]}`,
		`{"Hosts":[{"Uid":"m-000231","Address":"a:1","Rig":"g8","Yard":"a","Standby":true,"Status":"running","AgeS":61.5}],"More":false}`,
		`{"Rows":[{"Key":"a/b","Value":{"x": [1 ,2]},"Stamp":412,"Permit":7}],"More":true,"Epoch":431}`,
		`{"failed":["a/b"],"Epoch":431}`,
		`{"Epoch":433,"News":[{"Set":"c/9","Value":null,"Stamp":433},{"Drop":"c/d","Stamp":432}]}`,
	} {
		f.Add([]byte(answer))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		checkStable[Catalog](t, data)
		checkStable[HostNames](t, data)
		checkStable[HostList](t, data)
		checkStable[KeyValueList](t, data)
		checkStable[TransactionResponse](t, data)
		checkStable[WatchResponse](t, data)
		checkStable[Lease](t, data)
	})
}
