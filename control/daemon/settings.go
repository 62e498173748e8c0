package daemon

import (
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"pollenhill.example/core/state/settings"
	"pollenhill.example/core/transport/mtls"
)

// Settings is the content of the JSON settings file of a control process.
type Settings struct {
	Name                string         `json:"name"   validate:"required_without=Seeds"`
	Zone                string         `json:"zone"   validate:"required"`
	Region              string         `json:"region" validate:"required"`
	Listen              netip.AddrPort `json:"listen"`
	Bind                netip.Addr     `json:"bind"`                          // source address of outgoing connections
	DataDir             string         `json:"data"   validate:"required"`    // existing folder for the Raft log and snapshots
	RuleFile            string         `json:"rules"`                         // operators' rule file; empty: this process watches none
	Peers               []Peer         `json:"peers"  validate:"dive"`        // initial voters, this process included; empty: a group of one
	Join                bool           `json:"join"`                          // start as a learner of an existing group
	Seeds               []string       `json:"seeds"`                         // addresses of some control processes, instead of peers
	ToleratedDiskLosses int            `json:"losses" validate:"gte=0,lte=3"` // with seeds: number of VMs whose disks may be lost at once; 0 means 1
	FirstStart          bool           `json:"first"`                         // with seeds: the whole system starts for the first time
	LogFile             string         `json:"log"`                           // path; empty: standard error
	EventFile           string         `json:"events"`                        // path; empty: same as log
	MemoryMB            float64        `json:"memory" validate:"gte=0"`       // megabytes that this process may use; 0: not known
	MaxVoters           int            `json:"-"`                             // with seeds: number of voters of the group; otherwise 0
	TLS                 *mtls.Config   `json:"tls,omitempty"`                 // for all connections to other processes; nil: plain connections
}

// Peer is one control process in the settings.
type Peer struct {
	Name    string         `json:"name"   validate:"required"`
	Address netip.AddrPort `json:"address"`
	Region  string         `json:"region"`
}

// LoadSettings reads and checks a settings file; an error names the path of the invalid field.
func LoadSettings(path string) (Settings, error) {
	s, err := settings.Load[Settings](path)
	if err != nil {
		return s, err
	}
	if len(s.Seeds) > 0 {
		return s.withSeeds()
	}
	if len(s.Peers) == 0 {
		s.Peers = []Peer{{Name: s.Name, Address: s.Listen, Region: s.Region}}
	}
	return s, errors.Wrapf(s.validate(), "settings %s", path)
}

// voterCount returns the number of voters of a group with dynamic membership. Committed entries are on the disks of a
// majority of the voters, so that one of these disks is left when the tolerated number of disks is lost at once.
func (s Settings) voterCount() int { return 2*max(s.ToleratedDiskLosses, 1) + 1 }

// withSeeds sets the fields that follow from the seeds. The name of a process is its address. At the first start of the
// system the seeds create the group; every other process joins it.
func (s Settings) withSeeds() (Settings, error) {
	s.Name = s.Listen.String()
	s.Join = !s.FirstStart || !slices.Contains(s.Seeds, s.Name)
	s.MaxVoters = s.voterCount()
	s.Peers = nil
	for _, seed := range lo.Uniq(append(slices.Clone(s.Seeds), s.Name)) {
		address, err := netip.ParseAddrPort(seed)
		if err != nil {
			return s, errors.Wrap(err, "seeds")
		}
		s.Peers = append(s.Peers, Peer{Name: seed, Address: address, Region: s.Region})
	}
	if !s.Join {
		s.Peers = lo.Filter(s.Peers, func(p Peer, _ int) bool { return slices.Contains(s.Seeds, p.Name) })
	}
	return s, s.validate()
}

// validate checks the addresses and the peers; errors name the path of the field.
func (s Settings) validate() error {
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
