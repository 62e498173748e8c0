package command

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"pollenhill.example/core/protocol/control"
	"pollenhill.example/core/state/rule"
	client "pollenhill.example/pollenhill/transport/control"
)

// status is the JSON output of status.
type status struct {
	Control []process `json:"control"`
	Zones   []zone    `json:"zones"`
	Nodes   []node    `json:"nodes"`

	group *control.StatusResponse // most current answer
}

// process is one control process.
type process struct {
	Address  string   `json:"address"`
	Error    string   `json:"error,omitempty"`
	Name     string   `json:"name,omitempty"`
	Leader   string   `json:"leader,omitempty"`
	Current  bool     `json:"current"` // confirmed by a quorum
	Term     uint64   `json:"term"`
	Commit   uint64   `json:"commit"`
	Applied  uint64   `json:"applied"`
	Revision uint64   `json:"revision"`
	Number   uint64   `json:"number"`
	Claims   uint64   `json:"claims"`
	Voters   []string `json:"voters"`
	Learners []string `json:"learners"`
}

// zone sums up the nodes of one zone.
type zone struct {
	Name     string `json:"name"`
	Region   string `json:"region"`
	Out      bool   `json:"out"`
	Listed   bool   `json:"listed"` // in the rules
	Known    bool   `json:"known"`  // the rules could be read, so that out and listed mean something
	Nodes    int    `json:"nodes"`
	Backends int    `json:"backends"`
	Ready    int    `json:"ready"`
	Cold     int    `json:"cold"`
	Draining int    `json:"draining"`
	Leaving  int    `json:"leaving"`
	Slots    uint64 `json:"slots"` // of ready and cold back ends
}

// node is one node with its back ends.
type node struct {
	Name        string    `json:"name"`
	Zone        string    `json:"zone"`
	Region      string    `json:"region"`
	Address     string    `json:"address"`
	Incarnation uint64    `json:"incarnation"`
	Backends    []backend `json:"backends"`
}

// backend is one back end.
type backend struct {
	Name        string `json:"name"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	State       string `json:"state"`
	Out         bool   `json:"out"`
	Slots       uint32 `json:"slots"`
	Connections uint32 `json:"connections"`
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the control group, zones, nodes and back ends",
		Description: "Every control process named is asked for its own view; zones and nodes are those of the most current one.\n\n" +
			exitCodes,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "zone", Usage: "only nodes in the zone `NAME`"},
			&cli.StringFlag{Name: "service", Usage: "only back ends of the service `NAME`"},
		},
		Action: showStatus,
	}
}

func showStatus(ctx context.Context, c *cli.Command) error {
	if _, err := arguments(c, 0, 0); err != nil {
		return err
	}
	asked, err := clients(c)
	if err != nil {
		return err
	}
	answers := asked.Status(ctx)
	best, err := mostCurrent(answers)
	if err != nil {
		return fail(ExitUnreachable, err)
	}
	s := &status{group: best}
	for _, a := range answers {
		s.Control = append(s.Control, newProcess(a))
	}
	s.fill(best.GetMembers(), rulesOf(ctx, asked), c.String("zone"), c.String("service"))
	if c.Bool("json") {
		err = printJSON(c, s)
	} else {
		s.print(c)
	}
	if err == nil && !best.GetCurrent() {
		return fail(ExitStale, errors.New("no control process that answers is confirmed by a quorum; the state may be old"))
	}
	return err
}

// mostCurrent returns the answer that is confirmed by a quorum and has applied most.
func mostCurrent(answers []client.Answer[*control.StatusResponse]) (*control.StatusResponse, error) {
	var best *control.StatusResponse
	var failed error
	for _, a := range answers {
		switch {
		case a.Err != nil:
			failed = errors.Join(failed, a.Err)
		case best == nil || newer(a.Msg, best):
			best = a.Msg
		}
	}
	if best == nil {
		return nil, failed
	}
	return best, nil
}

func newer(a, b *control.StatusResponse) bool {
	if a.GetCurrent() != b.GetCurrent() {
		return a.GetCurrent()
	}
	return a.GetApplied() > b.GetApplied()
}

// rulesOf returns the rules in force, or nil if they cannot be read: status is for bad days too.
func rulesOf(ctx context.Context, asked *client.Clients) *rule.Set {
	answer, err := asked.Rules(ctx)
	if err != nil {
		return nil
	}
	set, err := rule.Parse(answer.Msg.GetRules().GetText())
	if err != nil {
		return nil
	}
	return set
}

func newProcess(a client.Answer[*control.StatusResponse]) process {
	p := process{Address: a.Address.String(), Voters: []string{}, Learners: []string{}}
	if a.Err != nil {
		p.Error = a.Err.Error()
		return p
	}
	m := a.Msg
	p.Name, p.Leader, p.Current, p.Term = m.GetId(), m.GetLeader(), m.GetCurrent(), m.GetTerm()
	p.Commit, p.Applied, p.Claims = m.GetCommit(), m.GetApplied(), m.GetClaims()
	p.Revision, p.Number = m.GetRevision(), m.GetNumber()
	p.Voters = append(p.Voters, m.GetVoters()...)
	p.Learners = append(p.Learners, m.GetLearners()...)
	return p
}

// fill sums up the members that the filters select.
func (s *status) fill(members []*control.Member, rules *rule.Set, onlyZone, onlyService string) {
	zones := map[string]*zone{}
	known := rules != nil
	if !known {
		rules = &rule.Set{}
	}
	for _, z := range rules.Zones {
		zones[z.Name] = &zone{Name: z.Name, Region: z.Region, Out: z.Out, Listed: true, Known: true}
	}
	s.Nodes = []node{}
	for _, m := range members {
		n := newNode(m, rules, onlyService)
		if m.GetGone() || onlyZone != "" && n.Zone != onlyZone || onlyService != "" && len(n.Backends) == 0 {
			continue
		}
		z, ok := zones[n.Zone]
		if !ok {
			z = &zone{Name: n.Zone, Region: n.Region, Known: known}
			zones[n.Zone] = z
		}
		z.add(n)
		s.Nodes = append(s.Nodes, n)
	}
	slices.SortFunc(s.Nodes, func(a, b node) int { return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name)) })
	s.Zones = []zone{}
	for _, z := range zones {
		if onlyZone == "" || z.Name == onlyZone {
			s.Zones = append(s.Zones, *z)
		}
	}
	slices.SortFunc(s.Zones, func(a, b zone) int { return cmp.Compare(a.Name, b.Name) })
}

func newNode(m *control.Member, rules *rule.Set, onlyService string) node {
	n := node{
		Name: m.GetNode(), Zone: m.GetZone(), Region: m.GetRegion(), Address: m.GetAddress(),
		Incarnation: m.GetIncarnation(), Backends: []backend{},
	}
	for _, b := range m.GetBackends() {
		if onlyService != "" && b.GetService() != onlyService {
			continue
		}
		n.Backends = append(n.Backends, backend{
			Name: b.GetName(), Service: b.GetService(), Address: b.GetAddress(), State: stateName(b.GetState()),
			Out: rules.BackendOut(b.GetName()), Slots: b.GetSlots(), Connections: b.GetConnections(),
		})
	}
	return n
}

// stateName returns STATE_READY as "ready".
func stateName(s control.State) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "STATE_"))
}

func (z *zone) add(n node) {
	z.Nodes++
	for _, b := range n.Backends {
		z.Backends++
		switch b.State {
		case "ready":
			z.Ready++
			z.Slots += uint64(b.Slots)
		case "cold":
			z.Cold++
			z.Slots += uint64(b.Slots)
		case "draining":
			z.Draining++
		case "leaving":
			z.Leaving++
		}
	}
}

func (s *status) print(c *cli.Command) {
	table := tabwriter.NewWriter(c.Root().Writer, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "control\taddress\trole\tterm\tapplied\tchange\tclaims")
	for _, p := range s.Control {
		if p.Error != "" {
			fmt.Fprintf(table, "-\t%s\tno answer\t-\t-\t-\t-\n", p.Address)
			continue
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\n", p.Name, p.Address, p.role(), p.Term, p.Applied, p.Number, p.Claims)
	}
	table.Flush()
	s.printGroup(c)
	fmt.Fprintln(table, "\nzone\tregion\tservice\tnodes\tready\tcold\tdraining\tleaving\tslots")
	for _, z := range s.Zones {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", z.Name, z.Region, z.service(), z.Nodes, z.Ready, z.Cold, z.Draining, z.Leaving, z.Slots)
	}
	fmt.Fprintln(table, "\nnode\tzone\taddress\tback end\tservice\tstate\tslots")
	for _, n := range s.Nodes {
		if len(n.Backends) == 0 {
			fmt.Fprintf(table, "%s\t%s\t%s\t-\t-\t-\t-\n", n.Name, n.Zone, n.Address)
		}
		for _, b := range n.Backends {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%d\n", n.Name, n.Zone, n.Address, b.Name, b.Service, b.state(), b.Slots)
		}
	}
	table.Flush()
	for _, p := range s.Control {
		if p.Error != "" {
			printf(c, "\n%s: %s", p.Address, p.Error)
		}
	}
	printf(c, "\n")
}

// printGroup lists the members of the group as the most current process knows them.
func (s *status) printGroup(c *cli.Command) {
	printf(c, "voters: %s\n", strings.Join(s.group.Voters, ", "))
	if len(s.group.Learners) > 0 {
		printf(c, "learners: %s\n", strings.Join(s.group.Learners, ", "))
	}
}

func (p process) role() string {
	role := "follower"
	// The ID of a member is its name and the random ID of its data folder; leader and learners are listed by name.
	name, _, _ := strings.Cut(p.Name, "/")
	switch {
	case p.Leader == name:
		role = "leader"
	case slices.Contains(p.Learners, name):
		role = "learner"
	}
	if !p.Current {
		role += ", not current"
	}
	return role
}

func (z zone) service() string {
	switch {
	case !z.Known:
		return "unknown"
	case z.Out:
		return "out"
	case !z.Listed:
		return "in, not in the rules"
	}
	return "in"
}

func (b backend) state() string {
	if b.Out {
		return b.State + ", out"
	}
	return b.State
}
