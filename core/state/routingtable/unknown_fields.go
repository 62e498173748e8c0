package routingtable

import (
	"encoding/json"
	"reflect"
	"strings"
)

// unknownFields holds the JSON fields of an item that this version does not know, so that a table reads back as it was
// written.
type unknownFields map[string]json.RawMessage

// parseUnknownFields reads the text that encode returned.
func parseUnknownFields(text string) unknownFields {
	if text == "" {
		return nil
	}
	var u unknownFields
	if json.Unmarshal([]byte(text), &u) != nil {
		return nil // an operator wrote the rule line by hand; the table leaves out what is not JSON
	}
	return u
}

// encode returns the fields as one JSON object with sorted keys, or "" if there are none.
func (u unknownFields) encode() string {
	if len(u) == 0 {
		return ""
	}
	raw, err := json.Marshal(map[string]json.RawMessage(u))
	if err != nil {
		return "" // cannot happen: every value was read from JSON
	}
	return string(raw)
}

// UnmarshalJSON decodes the known fields and keeps the others as they are.
func (r *route) UnmarshalJSON(raw []byte) error {
	type plain route
	return decodeFields(raw, (*plain)(r), &r.unknownFields)
}

// MarshalJSON encodes the known and the unknown fields.
func (r route) MarshalJSON() ([]byte, error) {
	type plain route
	return encodeFields(plain(r), r.unknownFields)
}

// UnmarshalJSON decodes the known fields and keeps the others as they are.
func (p *pool) UnmarshalJSON(raw []byte) error {
	type plain pool
	return decodeFields(raw, (*plain)(p), &p.unknownFields)
}

// MarshalJSON encodes the known and the unknown fields.
func (p pool) MarshalJSON() ([]byte, error) {
	type plain pool
	return encodeFields(plain(p), p.unknownFields)
}

// UnmarshalJSON decodes the known fields and keeps the others as they are.
func (a *account) UnmarshalJSON(raw []byte) error {
	type plain account
	return decodeFields(raw, (*plain)(a), &a.unknownFields)
}

// MarshalJSON encodes the known and the unknown fields.
func (a account) MarshalJSON() ([]byte, error) {
	type plain account
	return encodeFields(plain(a), a.unknownFields)
}

// UnmarshalJSON decodes the known fields and keeps the others as they are.
func (l *callerLimits) UnmarshalJSON(raw []byte) error {
	type plain callerLimits
	return decodeFields(raw, (*plain)(l), &l.unknownFields)
}

// MarshalJSON encodes the known and the unknown fields.
func (l callerLimits) MarshalJSON() ([]byte, error) {
	type plain callerLimits
	return encodeFields(plain(l), l.unknownFields)
}

// decodeFields decodes raw into the struct that v points to and stores the fields that the struct lacks in unknown.
// v must not have the UnmarshalJSON that calls decodeFields, which would recurse without end.
func decodeFields(raw []byte, v any, unknown *unknownFields) error {
	if err := json.Unmarshal(raw, v); err != nil {
		return err
	}
	var fields unknownFields
	if err := json.Unmarshal(raw, &fields); err != nil {
		return err
	}
	for f := range reflect.TypeOf(v).Elem().Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		delete(fields, name)
	}
	*unknown = fields
	return nil
}

// encodeFields encodes the fields of v and the unknown ones as one JSON object.
// v must not have the MarshalJSON that calls encodeFields, which would recurse without end.
func encodeFields(v any, unknown unknownFields) ([]byte, error) {
	raw, err := json.Marshal(v)
	if err != nil || len(unknown) == 0 {
		return raw, err
	}
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(raw, &fields); err != nil {
		return nil, err
	}
	for key, value := range unknown {
		fields[key] = value
	}
	return json.Marshal(fields)
}
