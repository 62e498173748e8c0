package main

import (
	"encoding/json"
	"os"
	"path/filepath"
)

// controlProcesses returns the control processes of a small deployment, which are not started yet. The settings are those of
// platform/control.json.
func controlProcesses(o options, folder string, n int) ([]*process, []string, error) {
	addresses, err := freeAddresses(n)
	if err != nil {
		return nil, nil, err
	}
	program, err := filepath.Abs(filepath.Join(o.programs, "control"))
	if err != nil {
		return nil, nil, err
	}
	var list []*process
	for i, address := range addresses {
		name := string(rune('a' + i))
		data := filepath.Join(folder, "data-"+name)
		if err := os.Mkdir(data, 0o700); err != nil {
			return nil, nil, err
		}
		list = append(list, &process{
			name: "control-" + name, program: program, folder: folder, rec: o.record,
			settings: func(first bool) string {
				return mustJSON(map[string]any{
					"zone": "zone-" + name, "region": "region", "listen": address, "bind": "127.0.0.1", "data": data,
					"seeds": addresses, "first": first, "losses": 1, "events": "-",
				})
			},
		})
	}
	return list, addresses, nil
}

func mustJSON(v any) string {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(raw)
}
