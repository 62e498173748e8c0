package settings

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
)

// Load reads the JSON file at path into T, rejects unknown fields and checks the validate tags.
func Load[T any](path string) (T, error) {
	var cfg T
	raw, err := os.ReadFile(path)
	if err != nil {
		return cfg, errors.Wrapf(err, "read settings")
	}
	return Parse[T](raw)
}

// Parse reads settings from raw JSON.
func Parse[T any](raw []byte) (T, error) {
	var cfg T
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&cfg); err != nil {
		return cfg, errors.Wrap(err, "parse settings")
	}
	if err := validator.New(validator.WithRequiredStructEnabled()).Struct(cfg); err != nil {
		return cfg, errors.Wrap(err, "check settings")
	}
	return cfg, nil
}
