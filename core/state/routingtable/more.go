package routingtable

import (
	"encoding/json"
	"reflect"
	"strings"
)

// more keeps the fields of an item that the rules do not know, so that a table reads back as it was written.
type more map[string]json.RawMessage

// moreOf reads the form written by text.
func moreOf(text string) more {
	if text == "" {
		return nil
	}
	var m more
	if json.Unmarshal([]byte(text), &m) != nil {
		return nil // written by hand; the interface leaves out what it can't read
	}
	return m
}

// text returns the fields as one JSON object with sorted keys, "" for none.
func (m more) text() string {
	if len(m) == 0 {
		return ""
	}
	raw, err := json.Marshal(map[string]json.RawMessage(m))
	if err != nil {
		return "" // not possible: every value was read from JSON
	}
	return string(raw)
}

// UnmarshalJSON reads the known fields and keeps the others.
func (r *route) UnmarshalJSON(raw []byte) error {
	type plain route
	return split(raw, (*plain)(r), &r.more)
}

// MarshalJSON writes known and kept fields.
func (r route) MarshalJSON() ([]byte, error) {
	type plain route
	return join(plain(r), r.more)
}

// UnmarshalJSON reads the known fields and keeps the others.
func (p *pool) UnmarshalJSON(raw []byte) error {
	type plain pool
	return split(raw, (*plain)(p), &p.more)
}

// MarshalJSON writes known and kept fields.
func (p pool) MarshalJSON() ([]byte, error) {
	type plain pool
	return join(plain(p), p.more)
}

// UnmarshalJSON reads the known fields and keeps the others.
func (b *bound) UnmarshalJSON(raw []byte) error {
	type plain bound
	return split(raw, (*plain)(b), &b.more)
}

// MarshalJSON writes known and kept fields.
func (b bound) MarshalJSON() ([]byte, error) {
	type plain bound
	return join(plain(b), b.more)
}

// split reads raw into v and puts the fields that v does not have into rest.
func split(raw []byte, v any, rest *more) error {
	if err := json.Unmarshal(raw, v); err != nil {
		return err
	}
	var all more
	if err := json.Unmarshal(raw, &all); err != nil {
		return err
	}
	for f := range reflect.TypeOf(v).Elem().Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		delete(all, name)
	}
	*rest = all
	return nil
}

func join(v any, rest more) ([]byte, error) {
	raw, err := json.Marshal(v)
	if err != nil || len(rest) == 0 {
		return raw, err
	}
	all := map[string]json.RawMessage{}
	if err := json.Unmarshal(raw, &all); err != nil {
		return nil, err
	}
	for key, value := range rest {
		all[key] = value
	}
	return json.Marshal(all)
}
