package layout

import (
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
)

// processAddress is how the settings of nodes and control processes refer to a control process.
type processAddress struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Region  string         `json:"region"`
}

type controlSettings struct {
	Name   string           `json:"name"`
	Zone   string           `json:"zone"`
	Region string           `json:"region"`
	Listen netip.AddrPort   `json:"listen"`
	Bind   netip.Addr       `json:"bind"`
	Data   string           `json:"data"`
	Rules  string           `json:"rules"`
	Peers  []processAddress `json:"peers"`
	Events string           `json:"events"`
}

type nodeSettings struct {
	Name    string           `json:"name"`
	Zone    string           `json:"zone"`
	Region  string           `json:"region"`
	Caller  netip.AddrPort   `json:"caller"`
	Peer    netip.AddrPort   `json:"peer"`
	Local   netip.AddrPort   `json:"local"`
	Bind    netip.Addr       `json:"bind"`
	Control []processAddress `json:"control"`
	Events  string           `json:"events"`
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

// WriteSettings writes the settings file of every process and creates the data folders of the control processes.
func (f Fleet) WriteSettings() error {
	peers := lo.Map(f.ControlProcesses(), func(c ControlProcess, _ int) processAddress {
		return processAddress{Name: c.Name, Address: c.Address, Region: c.Zone.Region}
	})
	for _, c := range f.ControlProcesses() {
		if err := f.writeControlSettings(c, peers); err != nil {
			return err
		}
	}
	for _, v := range f.VMs() {
		if err := f.writeVMSettings(v, peers); err != nil {
			return err
		}
	}
	return nil
}

func (f Fleet) writeControlSettings(c ControlProcess, peers []processAddress) error {
	data := filepath.Join(f.Dir, c.Name+".data")
	if err := os.MkdirAll(data, 0o755); err != nil {
		return errors.Wrapf(err, "create data folder of %s", c.Name)
	}
	return f.writeSettingsFile(c.Name, controlSettings{
		Name: c.Name, Zone: c.Zone.Name, Region: c.Zone.Region, Listen: c.Address, Bind: c.Address.Addr(),
		Data: data, Rules: f.RuleFile(c.Name), Peers: peers, Events: f.EventFile(c.Name),
	})
}

func (f Fleet) writeVMSettings(v VM, peers []processAddress) error {
	err := f.writeSettingsFile(v.NodeName(), nodeSettings{
		Name: v.NodeName(), Zone: v.Zone.Name, Region: v.Zone.Region, Caller: v.CallerAddress(), Peer: v.PeerAddress(), Local: v.LocalAddress(),
		Bind: v.IP, Control: peers, Events: f.EventFile(v.NodeName()),
	})
	if err != nil {
		return err
	}
	return f.writeSettingsFile(v.StandinName(), standinSettings{
		Name: v.BackendName, Service: v.Service, Zone: v.Zone.Name, Listen: v.BackendAddress(), Admin: v.AdminAddress(), Node: v.LocalAddress(),
		Slots: f.Backend.Slots, Connections: f.Backend.Connections, Cold: f.Backend.ColdSlots, Warm: f.Backend.WarmupRequests,
		Mean: f.Backend.MeanServiceTime, Probe: f.Backend.ProbeTime,
	})
}

func (f Fleet) writeSettingsFile(name string, settings any) error {
	raw, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return errors.Wrapf(err, "encode settings of %s", name)
	}
	return errors.Wrapf(os.WriteFile(filepath.Join(f.Dir, name+".json"), raw, 0o600), "write settings of %s", name)
}
