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

// Load reads the JSON file at path into a T, rejects unknown fields and checks the validate tags.
// Errors contain the JSON path of the wrong field.
func Load[T any](path string) (T, error) {
	var cfg T
	raw, err := os.ReadFile(path)
	if err != nil {
		return cfg, errors.Wrapf(err, "read settings")
	}
	cfg, err = Parse[T](raw)
	return cfg, errors.Wrapf(err, "settings %s", path)
}

// Parse reads a T from raw JSON, with the same checks and errors as Load.
func Parse[T any](raw []byte) (T, error) {
	var cfg T
	if err := checkFields(raw, reflect.TypeFor[T](), ""); err != nil {
		return cfg, err
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	if err := dec.Decode(&cfg); err != nil {
		return cfg, decodeError(err)
	}
	if dec.More() {
		return cfg, errors.New("parse: data after the settings object")
	}
	return cfg, validate(cfg)
}

func decodeError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return errors.Newf("field %s: want %s, have %s", typeErr.Field, typeErr.Type, typeErr.Value)
	}
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		return errors.Newf("parse: byte %d: %s", syntaxErr.Offset, syntaxErr)
	}
	return errors.Wrap(err, "parse")
}

// validate checks the validate tags and reports every violation with the JSON path of its field.
func validate(cfg any) error {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	err := v.Struct(cfg)
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) {
		return err
	}
	problems := make([]string, 0, len(violations))
	for _, v := range violations {
		_, path, _ := strings.Cut(v.Namespace(), ".") // the namespace starts with the name of the Go type
		constraint := v.Tag()
		if v.Param() != "" {
			constraint += "=" + v.Param()
		}
		problems = append(problems, "field "+path+": must satisfy "+constraint)
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

// checkFields returns an error for the first key in raw that is no field of t; encoding/json reports such keys without
// their path.
func checkFields(raw []byte, t reflect.Type, path string) error {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if hasUnmarshaler(t) {
		// Decoded here already because Decode reports errors of such types without the path.
		err := json.Unmarshal(raw, reflect.New(t).Interface())
		return errors.Wrapf(err, "field %s", strings.TrimSuffix(path, "."))
	}
	switch t.Kind() {
	case reflect.Struct:
		return checkObject(raw, t, path)
	case reflect.Slice:
		return checkArray(raw, t.Elem(), path)
	}
	return nil
}

// hasUnmarshaler reports whether t or its pointer defines its own JSON or text decoding.
func hasUnmarshaler(t reflect.Type) bool {
	p := reflect.PointerTo(t)
	return p.Implements(reflect.TypeFor[json.Unmarshaler]()) || p.Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
}

func checkObject(raw []byte, t reflect.Type, path string) error {
	var object map[string]json.RawMessage
	if json.Unmarshal(raw, &object) != nil {
		return nil // Decode reports the error with its reason
	}
	types := map[string]reflect.Type{}
	for f := range t.Fields() {
		types[jsonName(f)] = f.Type
	}
	for key, value := range object {
		fieldType, ok := types[key]
		if !ok {
			return errors.Newf("field %s%s: unknown", path, key)
		}
		if err := checkFields(value, fieldType, path+key+"."); err != nil {
			return err
		}
	}
	return nil
}

func checkArray(raw []byte, elem reflect.Type, path string) error {
	var values []json.RawMessage
	if json.Unmarshal(raw, &values) != nil {
		return nil // Decode reports the error with its reason
	}
	for _, value := range values {
		if err := checkFields(value, elem, path); err != nil {
			return err
		}
	}
	return nil
}
