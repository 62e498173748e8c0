package routingtable_test

import (
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenhill.example/core/state/routingtable"
	"pollenhill.example/core/state/rule"
)

const tableJSON = `{"version":7,"routes":[
 {"name":"r1","host":"a.example","path":"/x/","kind":"unsafe","timeout":800,"aim":250,"rank":1,"service":"s","tries":2},
 {"name":"r2","host":"a.example","path":"/y/","kind":"idempotent","timeout":1200,"aim":200.5,"rank":2,"split":[{"service":"s","weight":90},{"service":"t","weight":10}],"tries":2,"open":false,"homes":["oslo"]},
 {"name":"r3","host":"a.example","path":"/z/","kind":"upload","timeout":3000,"aim":1200,"rank":0,"service":"s","tries":2,"open":true}],
 "services":[{"name":"s","health":"/health","connections":260,"protocol":"h1","tls":false,"cold":3.0,"rate":42.5},
 {"name":"t","health":"/health","connections":260,"protocol":"h1","tls":false,"cold":0,"rate":0}],
 "limits":{"header":16384,"body":67108864,"read":3000,"idle":15000,"later":{"a":1}},
 "accounts":[{"name":"kari club","keys":["k=1,#%","k2"],"rank":0,"quota":231,"burst":12.5,"homes":["oslo"]},{"name":"b","keys":[]}]}`

func decode(t rapid.TB, body string) routingtable.Table {
	t.Helper()
	got, err := routingtable.Decode([]byte(body))
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// roundTrip writes a table as rules, parses them and returns their table.
func roundTrip(t rapid.TB, in routingtable.Table) routingtable.Table {
	t.Helper()
	traffic, err := in.TrafficRules()
	if err != nil {
		t.Fatal(err)
	}
	set, err := rule.Parse(rule.ReplaceTrafficRules("", 1, "a: b", traffic))
	if err != nil {
		t.Fatal(err)
	}
	return routingtable.FromRules(in.Version, set)
}

func decodedJSON(t *testing.T, v any) any {
	t.Helper()
	raw, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	var out any
	if err := json.Unmarshal(raw, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

// Guards against a table that differs when it is read back, for example in units, in the order of items or by a missing
// field that this version does not know.
func TestTableReadsBack(t *testing.T) {
	var sent any
	if err := json.Unmarshal([]byte(tableJSON), &sent); err != nil {
		t.Fatal(err)
	}
	if got := decodedJSON(t, roundTrip(t, decode(t, tableJSON))); !reflect.DeepEqual(got, sent) {
		t.Errorf("got %v, want %v", got, sent)
	}
}

// Guards against times that are cut off when they are read or written (review/15: 4.1 s became 4.099999999 s), and against each
// later change taking another step off an item that it does not touch. It covers all times with up to nine decimals of a second,
// through the text of the rules and through JSON.
func TestTimesReadBackThroughChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nanos := func(label string) int64 {
			decimals := rapid.IntRange(0, 9).Draw(t, label+" decimals")
			step := int64(math.Pow10(9 - decimals))
			return step * rapid.Int64Range(1, int64(30*24*time.Hour)/step).Draw(t, label)
		}
		millis := func(label string) string { return decimalText(nanos(label), 6) }
		sent := fmt.Sprintf(`{"version":7,"routes":[{"name":"r","host":"h","path":"/","kind":"unsafe","timeout":%s,"aim":%s,"rank":0,"service":"s","tries":1}],`+
			`"services":[{"name":"s","health":"/h","connections":1,"cold":%s,"rate":1}],"limits":{"header":1,"body":1,"read":%s,"idle":%s}}`,
			millis("timeout"), millis("aim"), decimalText(nanos("cold"), 9), millis("read"), millis("idle"))
		var want any
		if err := json.Unmarshal([]byte(sent), &want); err != nil {
			t.Fatal(err)
		}
		table := decode(t, sent)
		for round := range 3 {
			table = roundTrip(t, table).Apply(routingtable.Patch{Version: 7})
			raw, _ := json.Marshal(table)
			var got any
			if err := json.Unmarshal(raw, &got); err != nil || !reflect.DeepEqual(got, want) {
				t.Fatalf("after %d changes got %s, want %s", round+1, raw, sent)
			}
		}
	})
}

// decimalText returns n units of 10 to the power of -digits as a JSON number.
func decimalText(n int64, digits int) string {
	unit := int64(math.Pow10(digits))
	return fmt.Sprintf("%d.%0*d", n/unit, digits, n%unit)
}

// Guards against entries of older programs that get another result than members have in their snapshots: these cut times off.
func TestCutOffTimesStay(t *testing.T) {
	in := decode(t, `{"version":1,"routes":[],"services":[{"name":"s","cold":4.1}]}`)
	for _, want := range []float64{4.099999999, 4.099999998} {
		traffic, err := in.TrafficRulesCutOff()
		if err != nil {
			t.Fatal(err)
		}
		set, err := rule.Parse(rule.ReplaceTrafficRules("", 1, "a: b", traffic))
		if err != nil {
			t.Fatal(err)
		}
		in = routingtable.FromRulesCutOff(1, set)
		if got := in.Services[0].ColdPeriodSeconds; got != want {
			t.Errorf("cold for %v s, want %v", got, want)
		}
	}
}

// Guards against a patch that changes or moves other items than its own, or skips one of its own. It replaces, appends
// and drops a route, and drops one that does not exist.
func TestPatch(t *testing.T) {
	p, err := routingtable.DecodePatch([]byte(`{"version":9,"set":{"routes":[
 {"name":"new","host":"b.example","path":"/","kind":"download","timeout":100,"aim":10,"rank":0,"service":"t","tries":1},
 {"name":"r1","host":"a.example","path":"/x/","kind":"unsafe","timeout":900,"aim":250,"rank":1,"service":"t","tries":2}]},
 "drop":{"routes":["r2","r3","absent"]}}`))
	if err != nil {
		t.Fatal(err)
	}
	got := roundTrip(t, decode(t, tableJSON).Apply(p))
	raw, _ := json.Marshal(got.Routes)
	want := `[{"name":"r1","host":"a.example","path":"/x/","kind":"unsafe","timeout":900,"aim":250,"rank":1,"service":"t","tries":2},` +
		`{"name":"new","host":"b.example","path":"/","kind":"download","timeout":100,"aim":10,"rank":0,"service":"t","tries":1}]`
	if string(raw) != want || got.Version != 9 || len(got.Services) != 2 || got.Limits == nil || len(got.Accounts) != 2 {
		t.Errorf("got %s, version %d", raw, got.Version)
	}
}

// Guards against an invalid table that comes into force: each case breaks one condition of a valid table, which the
// decoder, the conversion or the parser of the rules must reject.
func TestInvalidTables(t *testing.T) {
	for name, replacement := range map[string][2]string{
		"unknown service":        {`"service":"s","tries"`, `"service":"u","tries"`},
		"unknown part":           {`"service":"t","weight":10`, `"service":"u","weight":10`},
		"no weight":              {`"weight":90},{"service":"t","weight":10}`, `"weight":0}`},
		"path without slash":     {`"path":"/x/"`, `"path":"x/"`},
		"no host":                {`"host":"a.example","path":"/x/"`, `"host":"","path":"/x/"`},
		"unknown kind":           {`"kind":"unsafe"`, `"kind":"odd"`},
		"no timeout":             {`"timeout":800`, `"timeout":0`},
		"timeout out of range":   {`"timeout":800`, `"timeout":1e300`},
		"aim out of range":       {`"aim":250`, `"aim":9.3e15`},
		"limit out of range":     {`"idle":15000`, `"idle":1e19`},
		"cold out of range":      {`"cold":3.0`, `"cold":1e10`},
		"same place twice":       {`"path":"/y/"`, `"path":"/x/"`},
		"same name twice":        {`"name":"r2"`, `"name":"r1"`},
		"service and split":      {`"split":`, `"service":"s","split":`},
		"service without a name": {`"name":"t"`, `"name":""`},
		"shared key":             {`"keys":[]`, `"keys":["k2"]`},
		"empty key":              {`"keys":[]`, `"keys":[""]`},
		"account without a name": {`"name":"b"`, `"name":""`},
		"same account twice":     {`"name":"b"`, `"name":"kari club"`},
		"negative quota":         {`"quota":231`, `"quota":-1`},
		"cut short":              {`"keys":[]}]}`, `"keys":[]}]`},
		"data after it":          {`"keys":[]}]}`, `"keys":[]}]}{}`},
		"field of another type":  {`"version":7`, `"version":"x"`},
	} {
		t.Run(name, func(t *testing.T) {
			body := strings.Replace(tableJSON, replacement[0], replacement[1], 1)
			if body == tableJSON {
				t.Fatal("the case changes nothing")
			}
			in, err := routingtable.Decode([]byte(body))
			if err != nil {
				return
			}
			traffic, err := in.TrafficRules()
			if err != nil {
				return
			}
			if _, err := rule.Parse(rule.ReplaceTrafficRules("", 1, "a: b", traffic)); err == nil {
				t.Error("accepted")
			}
		})
	}
}

// Guards against error texts that change for clients when a package or type is renamed: encoding/json writes the names of
// Go types into its errors.
func TestDecodeErrorTexts(t *testing.T) {
	for body, want := range map[string]string{
		`[]`:                                     "array into Go value of type table.Table",
		`{"routes":[5]}`:                         "number into Go struct field Table.routes of type table.plain",
		`{"routes":[{"split":[5]}]}`:             "number into Go struct field Table.routes.split of type table.part",
		`{"routes":[{"split":[{"weight":""}]}]}`: "string into Go struct field Table.routes.split.weight of type float64",
		`{"limits":5}`:                           "number into Go struct field Table.limits of type table.plain",
	} {
		_, err := routingtable.Decode([]byte(body))
		if want = "read table: json: cannot unmarshal " + want; err == nil || err.Error() != want {
			t.Errorf("%s: got %v, want %s", body, err, want)
		}
	}
	_, err := routingtable.DecodePatch([]byte(`{"set":[]}`))
	want := `read table: json: cannot unmarshal array into Go struct field Patch.set of type struct { ` +
		`Routes []table.route "json:\"routes\""; Services []table.pool "json:\"services\""; Limits *table.bound "json:\"limits\""; ` +
		`Accounts []table.account "json:\"accounts\"" }`
	if err == nil || err.Error() != want {
		t.Errorf("got %v, want %s", err, want)
	}
}
