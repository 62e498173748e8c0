package settings

import (
	"bytes"
	"encoding"
	"encoding/json"
	"os"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
)

// Load reads the JSON file at path into T, rejects unknown fields and checks the validate tags; errors name the field's path.
func Load[T any](path string) (T, error) {
	var cfg T
	raw, err := os.ReadFile(path)
	if err != nil {
		return cfg, errors.Wrapf(err, "read settings")
	}
	cfg, err = Parse[T](raw)
	return cfg, errors.Wrapf(err, "settings %s", path)
}

// Parse reads settings from raw JSON; errors name the field's path.
func Parse[T any](raw []byte) (T, error) {
	var cfg T
	if err := unknown(raw, reflect.TypeFor[T](), ""); err != nil {
		return cfg, err
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	if err := dec.Decode(&cfg); err != nil {
		return cfg, decodeError(err)
	}
	if dec.More() {
		return cfg, errors.New("parse: data after the settings object")
	}
	return cfg, check(cfg)
}

func decodeError(err error) error {
	var typed *json.UnmarshalTypeError
	if errors.As(err, &typed) {
		return errors.Newf("field %s: want %s, have %s", typed.Field, typed.Type, typed.Value)
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return errors.Newf("parse: byte %d: %s", syntax.Offset, syntax)
	}
	return errors.Wrap(err, "parse")
}

// check applies the validate tags and names fields by their JSON path.
func check(cfg any) error {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	err := v.Struct(cfg)
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return err
	}
	problems := make([]string, 0, len(fields))
	for _, f := range fields {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		rule := f.Tag()
		if f.Param() != "" {
			rule += "=" + f.Param()
		}
		problems = append(problems, "field "+path+": must satisfy "+rule)
	}
	return errors.Newf("%s", strings.Join(problems, "; "))
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "" {
		return f.Name
	}
	return name
}

// unknown returns an error for the first key that t does not have; encoding/json reports such keys without their path.
func unknown(raw []byte, t reflect.Type, path string) error {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if p := reflect.PointerTo(t); p.Implements(reflect.TypeFor[json.Unmarshaler]()) || p.Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
		// Decode reports errors of such types without the path.
		err := json.Unmarshal(raw, reflect.New(t).Interface())
		return errors.Wrapf(err, "field %s", strings.TrimSuffix(path, "."))
	}
	switch t.Kind() {
	case reflect.Struct:
		return unknownKey(raw, t, path)
	case reflect.Slice:
		return unknownElement(raw, t.Elem(), path)
	}
	return nil
}

func unknownKey(raw []byte, t reflect.Type, path string) error {
	var object map[string]json.RawMessage
	if json.Unmarshal(raw, &object) != nil {
		return nil // Decode reports it with the reason
	}
	types := map[string]reflect.Type{}
	for f := range t.Fields() {
		types[jsonName(f)] = f.Type
	}
	for key, value := range object {
		inner, ok := types[key]
		if !ok {
			return errors.Newf("field %s%s: unknown", path, key)
		}
		if err := unknown(value, inner, path+key+"."); err != nil {
			return err
		}
	}
	return nil
}

func unknownElement(raw []byte, t reflect.Type, path string) error {
	var list []json.RawMessage
	if json.Unmarshal(raw, &list) != nil {
		return nil
	}
	for _, value := range list {
		if err := unknown(value, t, path); err != nil {
			return err
		}
	}
	return nil
}
