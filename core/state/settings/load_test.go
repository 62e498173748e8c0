package settings_test

import (
	"strings"
	"testing"
	"time"

	"pollenhill.example/core/state/settings"
)

type inner struct {
	Size int `json:"size" validate:"gt=0"`
}

type sample struct {
	Name  string            `json:"name" validate:"required"`
	Wait  settings.Duration `json:"wait"`
	Inner inner             `json:"inner"`
	List  []inner           `json:"list" validate:"dive"`
}

// Guards against errors that do not tell the operator which field is wrong: encoding/json reports an
// unknown key without its path, and the validator reports the names of Go fields.
func TestParseErrorsNameTheField(t *testing.T) {
	cases := []struct{ name, raw, want string }{
		{"bad JSON", `{"name":`, "parse"},
		{"unknown field", `{"name":"a","inner":{"size":1,"sice":2}}`, "inner.sice"},
		{"unknown field in a list", `{"name":"a","inner":{"size":1},"list":[{"size":1,"x":0}]}`, "list.x"},
		{"wrong type", `{"name":"a","inner":{"size":"big"}}`, "inner.size"},
		{"missing", `{"inner":{"size":1}}`, "name"},
		{"out of range", `{"name":"a","inner":{"size":0}}`, "inner.size"},
		{"out of range in a list", `{"name":"a","inner":{"size":1},"list":[{"size":-1}]}`, "list[0].size"},
		{"bad duration", `{"name":"a","wait":"soon","inner":{"size":1}}`, "soon"},
		{"trailing data", `{"name":"a","inner":{"size":1}} {}`, "after"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := settings.Parse[sample]([]byte(c.raw))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("error %v does not contain %q", err, c.want)
			}
		})
	}
}

// Guards against durations that are decoded as another length of time than their text says.
func TestParseReadsDurations(t *testing.T) {
	cfg, err := settings.Parse[sample]([]byte(`{"name":"a","wait":"250ms","inner":{"size":1}}`))
	if err != nil || time.Duration(cfg.Wait) != 250*time.Millisecond {
		t.Fatalf("wait %v, error %v", time.Duration(cfg.Wait), err)
	}
}
