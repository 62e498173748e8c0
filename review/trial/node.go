package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
)

// headerNames are the header names in the settings of a node.
type headerNames struct {
	Request  string `json:"request"`
	Deadline string `json:"deadline"`
	Target   string `json:"target"`
	Seal     string `json:"seal"`
	Refused  string `json:"refused"`
	Load     string `json:"load"`
	Instance string `json:"instance"`
}

// nodeProcess is a node with its addresses.
type nodeProcess struct {
	*process
	caller, local, backend, zone string
	headers                      headerNames
}

// newNode returns a node that is not started yet; data is the folder of the template of its settings, which is that of
// platform/node.json.
func newNode(o options, folder, data, name string, seeds []string) (*nodeProcess, error) {
	template, err := os.ReadFile(filepath.Join(data, "node.json"))
	if err != nil {
		return nil, err
	}
	addresses, err := freeAddresses(6)
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs(filepath.Join(o.programs, "node"))
	if err != nil {
		return nil, err
	}
	n := &nodeProcess{caller: addresses[0], local: addresses[2], backend: addresses[5], zone: "zone-" + name}
	text := strings.NewReplacer(
		"@name@", "node-"+name, "@zone@", n.zone, "@caller@", addresses[0], "@peer@", addresses[1], "@local@", addresses[2],
		"@ready@", addresses[3], "@hints@", addresses[4], "@backend@", addresses[5], "@seeds@", mustJSON(seeds),
	).Replace(string(template))
	var settings struct {
		Headers headerNames `json:"headers"`
	}
	if err := json.Unmarshal([]byte(text), &settings); err != nil {
		return nil, err
	}
	n.headers = settings.Headers
	n.process = &process{name: "node-" + name, program: program, folder: folder, rec: o.record, settings: func(bool) string { return text }}
	return n, nil
}
