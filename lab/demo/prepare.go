package demo

import (
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// process is one entry of the control list of a node and of the peers of a control process.
type process struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Region  string         `json:"region"`
}

type controlSettings struct {
	Name   string         `json:"name"`
	Zone   string         `json:"zone"`
	Region string         `json:"region"`
	Listen netip.AddrPort `json:"listen"`
	Bind   netip.Addr     `json:"bind"`
	Data   string         `json:"data"`
	Rules  string         `json:"rules"`
	Peers  []process      `json:"peers"`
	Events string         `json:"events"`
}

type nodeSettings struct {
	Name    string         `json:"name"`
	Zone    string         `json:"zone"`
	Region  string         `json:"region"`
	Caller  netip.AddrPort `json:"caller"`
	Peer    netip.AddrPort `json:"peer"`
	Local   netip.AddrPort `json:"local"`
	Bind    netip.Addr     `json:"bind"`
	Control []process      `json:"control"`
	Events  string         `json:"events"`
}

type standinSettings struct {
	Name        string         `json:"name"`
	Service     string         `json:"service"`
	Zone        string         `json:"zone"`
	Listen      netip.AddrPort `json:"listen"`
	Admin       netip.AddrPort `json:"admin"`
	Node        netip.AddrPort `json:"node"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	Cold        int            `json:"cold"`
	Warm        int            `json:"warm"`
	Mean        string         `json:"mean"`
	Probe       string         `json:"probe"`
}

// Prepare writes the settings and the rule file of every process into dir.
func Prepare(dir string) error {
	if err := os.MkdirAll(filepath.Join(dir, "data"), 0o755); err != nil {
		return errors.Wrap(err, "make the demo folder")
	}
	peers := []process{{Name: "control-1", Address: netip.MustParseAddrPort(controlAddress), Region: "oslo"}}
	control := controlSettings{
		Name: "control-1", Zone: zones[0], Region: "oslo", Listen: peers[0].Address, Bind: peers[0].Address.Addr(),
		Data: filepath.Join(dir, "data"), Rules: rulesFile(dir), Peers: peers, Events: filepath.Join(dir, "control-1.events"),
	}
	if err := write(dir, "control-1", control); err != nil {
		return err
	}
	for _, v := range vms() {
		if err := prepareVM(dir, v, peers); err != nil {
			return err
		}
	}
	return edit(dir, 1, "ola: first day", "")
}

func prepareVM(dir string, v vm, peers []process) error {
	node := nodeSettings{
		Name: "node-" + v.name, Zone: v.zone, Region: "oslo", Caller: v.caller(), Peer: v.peer(), Local: v.local(), Bind: v.ip,
		Control: peers, Events: filepath.Join(dir, "node-"+v.name+".events"),
	}
	if err := write(dir, node.Name, node); err != nil {
		return err
	}
	return write(dir, "standin-"+v.name, standinSettings{
		Name: v.name, Service: v.service, Zone: v.zone, Listen: v.backend(), Admin: v.admin(), Node: v.local(),
		Slots: slots, Connections: connections, Cold: cold, Warm: warm, Mean: mean, Probe: probe,
	})
}

func write(dir, name string, settings any) error {
	raw, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return errors.Wrapf(err, "encode settings of %s", name)
	}
	return errors.Wrapf(os.WriteFile(filepath.Join(dir, name+".json"), raw, 0o600), "write settings of %s", name)
}
