package settings

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration that is encoded in JSON as text such as "250ms".
type Duration time.Duration

// UnmarshalJSON decodes a JSON string in the form that time.ParseDuration accepts.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return errors.Wrapf(err, "read duration %s", raw)
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return errors.Wrapf(err, "read duration %s", raw)
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON encodes d as a JSON string in the form of time.Duration.String.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}
