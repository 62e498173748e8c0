package daemon

import (
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"

	"pollenhill.example/core/state/settings"
	"pollenhill.example/core/transport/mtls"
)

// Settings is the JSON settings file of a control process.
type Settings struct {
	Name   string         `json:"name"   validate:"required"`
	Zone   string         `json:"zone"   validate:"required"`
	Region string         `json:"region" validate:"required"`
	Listen netip.AddrPort `json:"listen"`
	Bind   netip.Addr     `json:"bind"`                       // source of outgoing connections
	Data   string         `json:"data"   validate:"required"` // existing folder for log and snapshots
	Rules  string         `json:"rules"`                      // operators' rule file; empty: this process watches none
	Peers  []Peer         `json:"peers"  validate:"dive"`     // founding voters, this process included; empty: a group of one
	Join   bool           `json:"join"`                       // start as a learner of an existing group
	Log    string         `json:"log"`                        // file; empty: standard error
	Events string         `json:"events"`                     // file; empty: same as log
	TLS    *mtls.Config   `json:"tls,omitempty"`              // of all connections to other processes; nil: plain
}

// Peer is one control process of the settings.
type Peer struct {
	Name    string         `json:"name"   validate:"required"`
	Address netip.AddrPort `json:"address"`
	Region  string         `json:"region"`
}

// LoadSettings reads and checks a settings file; an error names the path of the wrong field.
func LoadSettings(path string) (Settings, error) {
	s, err := settings.Load[Settings](path)
	if err != nil {
		return s, err
	}
	if len(s.Peers) == 0 {
		s.Peers = []Peer{{Name: s.Name, Address: s.Listen, Region: s.Region}}
	}
	return s, errors.Wrapf(s.check(), "settings %s", path)
}

func (s Settings) check() error {
	switch {
	case !s.Listen.IsValid():
		return errors.New("listen: want an IP address and a port")
	case !s.Bind.IsValid():
		return errors.New("bind: want an IP address")
	case !slices.ContainsFunc(s.Peers, func(p Peer) bool { return p.Name == s.Name }):
		return errors.Newf("peers: this process, %q, is missing", s.Name)
	}
	seen := map[string]bool{}
	for i, p := range s.Peers {
		if !p.Address.IsValid() {
			return errors.Newf("peers[%d].address: want an IP address and a port", i)
		}
		if seen[p.Name] {
			return errors.Newf("peers[%d].name: %q appears twice", i, p.Name)
		}
		seen[p.Name] = true
	}
	return nil
}
