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

// statusOutput is the JSON output of status.
type statusOutput struct {
	ControlProcesses []controlProcess `json:"control"`
	Zones            []zoneSummary    `json:"zones"`
	Nodes            []nodeStatus     `json:"nodes"`
	Accounts         *accountSummary  `json:"accounts,omitempty"` // nil without accounts in the rules

	mostCurrent *control.StatusResponse // answer from which nodes and group members are taken
}

// controlProcess is the answer of one control process, or only its address and the error if it did not answer.
type controlProcess struct {
	Address      string   `json:"address"`
	Error        string   `json:"error,omitempty"`
	Name         string   `json:"name,omitempty"`
	Leader       string   `json:"leader,omitempty"`
	Current      bool     `json:"current"` // a quorum confirmed that the answer is up to date
	Term         uint64   `json:"term"`
	CommitIndex  uint64   `json:"commit"`
	AppliedIndex uint64   `json:"applied"`
	Revision     uint64   `json:"revision"`
	ChangeNumber uint64   `json:"number"`
	Claims       uint64   `json:"claims"`
	Voters       []string `json:"voters"`
	Learners     []string `json:"learners"`
}

// zoneSummary counts the nodes of one zone, and its back ends by state.
type zoneSummary struct {
	Name         string `json:"name"`
	Region       string `json:"region"`
	OutOfService bool   `json:"out"`
	InRules      bool   `json:"listed"`
	RulesKnown   bool   `json:"known"` // the rules could be read; otherwise OutOfService and InRules mean nothing
	Nodes        int    `json:"nodes"`
	Backends     int    `json:"backends"`
	Ready        int    `json:"ready"`
	Cold         int    `json:"cold"`
	Draining     int    `json:"draining"`
	Leaving      int    `json:"leaving"`
	Slots        uint64 `json:"slots"` // of ready and cold back ends
}

// accountSummary counts the client accounts of the rules in force.
type accountSummary struct {
	Count int `json:"count"`
	Keys  int `json:"keys"` // of all accounts
}

// nodeStatus is a node with its back ends.
type nodeStatus struct {
	Name        string          `json:"name"`
	Zone        string          `json:"zone"`
	Region      string          `json:"region"`
	Address     string          `json:"address"`
	Incarnation uint64          `json:"incarnation"`
	Backends    []backendStatus `json:"backends"`
}

// backendStatus is a back end as its node announced it, and whether the rules take it out of service.
type backendStatus struct {
	Name         string `json:"name"`
	Service      string `json:"service"`
	Address      string `json:"address"`
	State        string `json:"state"`
	OutOfService bool   `json:"out"`
	Slots        uint32 `json:"slots"`
	Connections  uint32 `json:"connections"`
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
		Action: runStatus,
	}
}

func runStatus(ctx context.Context, c *cli.Command) error {
	if _, err := positionalArguments(c, 0, 0); err != nil {
		return err
	}
	clients, err := newClients(c)
	if err != nil {
		return err
	}
	answers := clients.Status(ctx)
	best, err := findMostCurrent(answers)
	if err != nil {
		return withExitCode(ExitUnreachable, err)
	}
	output := &statusOutput{mostCurrent: best}
	for _, a := range answers {
		output.ControlProcesses = append(output.ControlProcesses, newControlProcess(a))
	}
	rules := fetchParsedRules(ctx, clients)
	output.addMembers(best.GetMembers(), rules, c.String("zone"), c.String("service"))
	if rules != nil && rules.RequiresKeys() {
		output.Accounts = &accountSummary{Count: len(rules.Accounts), Keys: rules.KeyCount()}
	}
	if c.Bool("json") {
		err = printJSON(c, output)
	} else {
		output.print(c)
	}
	if err == nil && !best.GetCurrent() {
		return withExitCode(ExitStale, errors.New("no control process that answers is confirmed by a quorum; the state may be old"))
	}
	return err
}

// findMostCurrent returns the answer with the highest applied index among those that a quorum confirmed, or among all
// answers if none is confirmed. It returns the errors of all control processes if none answered.
func findMostCurrent(answers []client.Answer[*control.StatusResponse]) (*control.StatusResponse, error) {
	var best *control.StatusResponse
	var failures error
	for _, a := range answers {
		switch {
		case a.Err != nil:
			failures = errors.Join(failures, a.Err)
		case best == nil || isMoreCurrent(a.Msg, best):
			best = a.Msg
		}
	}
	if best == nil {
		return nil, failures
	}
	return best, nil
}

// isMoreCurrent reports whether a is confirmed and b is not or, if both or none are, whether a has applied more.
func isMoreCurrent(a, b *control.StatusResponse) bool {
	if a.GetCurrent() != b.GetCurrent() {
		return a.GetCurrent()
	}
	return a.GetApplied() > b.GetApplied()
}

// fetchParsedRules returns the rules in force, or nil if they cannot be read: status has to work during an outage too.
func fetchParsedRules(ctx context.Context, clients *client.Clients) *rule.Set {
	answer, err := clients.Rules(ctx)
	if err != nil {
		return nil
	}
	set, err := rule.Parse(answer.Msg.GetRules().GetText())
	if err != nil {
		return nil
	}
	return set
}

func newControlProcess(a client.Answer[*control.StatusResponse]) controlProcess {
	p := controlProcess{Address: a.Address.String(), Voters: []string{}, Learners: []string{}}
	if a.Err != nil {
		p.Error = a.Err.Error()
		return p
	}
	m := a.Msg
	p.Name, p.Leader, p.Current, p.Term = m.GetId(), m.GetLeader(), m.GetCurrent(), m.GetTerm()
	p.CommitIndex, p.AppliedIndex, p.Claims = m.GetCommit(), m.GetApplied(), m.GetClaims()
	p.Revision, p.ChangeNumber = m.GetRevision(), m.GetNumber()
	p.Voters = append(p.Voters, m.GetVoters()...)
	p.Learners = append(p.Learners, m.GetLearners()...)
	return p
}

// addMembers adds the nodes that onlyZone and onlyService select, and the zones that are in the rules or have such a node.
// An empty filter selects all; rules are nil if unknown.
func (o *statusOutput) addMembers(members []*control.Member, rules *rule.Set, onlyZone, onlyService string) {
	zones := map[string]*zoneSummary{}
	rulesKnown := rules != nil
	if !rulesKnown {
		rules = &rule.Set{}
	}
	for _, z := range rules.Zones {
		zones[z.Name] = &zoneSummary{Name: z.Name, Region: z.Region, OutOfService: z.Out, InRules: true, RulesKnown: true}
	}
	o.Nodes = []nodeStatus{}
	for _, m := range members {
		n := newNodeStatus(m, rules, onlyService)
		if m.GetGone() || onlyZone != "" && n.Zone != onlyZone || onlyService != "" && len(n.Backends) == 0 {
			continue
		}
		z, ok := zones[n.Zone]
		if !ok {
			z = &zoneSummary{Name: n.Zone, Region: n.Region, RulesKnown: rulesKnown}
			zones[n.Zone] = z
		}
		z.addNode(n)
		o.Nodes = append(o.Nodes, n)
	}
	slices.SortFunc(o.Nodes, func(a, b nodeStatus) int { return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name)) })
	o.Zones = []zoneSummary{}
	for _, z := range zones {
		if onlyZone == "" || z.Name == onlyZone {
			o.Zones = append(o.Zones, *z)
		}
	}
	slices.SortFunc(o.Zones, func(a, b zoneSummary) int { return cmp.Compare(a.Name, b.Name) })
}

// newNodeStatus returns the node of m with its back ends of the service onlyService, or with all if it is empty.
func newNodeStatus(m *control.Member, rules *rule.Set, onlyService string) nodeStatus {
	n := nodeStatus{
		Name: m.GetNode(), Zone: m.GetZone(), Region: m.GetRegion(), Address: m.GetAddress(),
		Incarnation: m.GetIncarnation(), Backends: []backendStatus{},
	}
	for _, b := range m.GetBackends() {
		if onlyService != "" && b.GetService() != onlyService {
			continue
		}
		n.Backends = append(n.Backends, backendStatus{
			Name: b.GetName(), Service: b.GetService(), Address: b.GetAddress(), State: stateName(b.GetState()),
			OutOfService: rules.BackendOut(b.GetName()), Slots: b.GetSlots(), Connections: b.GetConnections(),
		})
	}
	return n
}

// stateName returns the name of a state in rules and logs, such as "ready" for STATE_READY.
func stateName(s control.State) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "STATE_"))
}

func (z *zoneSummary) addNode(n nodeStatus) {
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

func (o *statusOutput) print(c *cli.Command) {
	table := tabwriter.NewWriter(c.Root().Writer, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "control\taddress\trole\tterm\tapplied\tchange\tclaims")
	for _, p := range o.ControlProcesses {
		if p.Error != "" {
			fmt.Fprintf(table, "-\t%s\tno answer\t-\t-\t-\t-\n", p.Address)
			continue
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\n", p.Name, p.Address, p.roleText(), p.Term, p.AppliedIndex, p.ChangeNumber, p.Claims)
	}
	table.Flush()
	o.printGroupMembers(c)
	if o.Accounts != nil {
		printf(c, "accounts: %d with %d keys\n", o.Accounts.Count, o.Accounts.Keys)
	}
	fmt.Fprintln(table, "\nzone\tregion\tservice\tnodes\tready\tcold\tdraining\tleaving\tslots")
	for _, z := range o.Zones {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", z.Name, z.Region, z.serviceText(), z.Nodes, z.Ready, z.Cold, z.Draining, z.Leaving, z.Slots)
	}
	fmt.Fprintln(table, "\nnode\tzone\taddress\tback end\tservice\tstate\tslots")
	for _, n := range o.Nodes {
		if len(n.Backends) == 0 {
			fmt.Fprintf(table, "%s\t%s\t%s\t-\t-\t-\t-\n", n.Name, n.Zone, n.Address)
		}
		for _, b := range n.Backends {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%d\n", n.Name, n.Zone, n.Address, b.Name, b.Service, b.stateText(), b.Slots)
		}
	}
	table.Flush()
	for _, p := range o.ControlProcesses {
		if p.Error != "" {
			printf(c, "\n%s: %s", p.Address, p.Error)
		}
	}
	printf(c, "\n")
}

// printGroupMembers prints the voters and learners of the control group.
func (o *statusOutput) printGroupMembers(c *cli.Command) {
	printf(c, "voters: %s\n", strings.Join(o.mostCurrent.Voters, ", "))
	if len(o.mostCurrent.Learners) > 0 {
		printf(c, "learners: %s\n", strings.Join(o.mostCurrent.Learners, ", "))
	}
}

func (p controlProcess) roleText() string {
	role := "follower"
	// Name is a member ID: the name of the member, a slash and the random ID of its data folder. Leader and learners are
	// listed by name only.
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

// serviceText returns whether the rules have the zone in service.
func (z zoneSummary) serviceText() string {
	switch {
	case !z.RulesKnown:
		return "unknown"
	case z.OutOfService:
		return "out"
	case !z.InRules:
		return "in, not in the rules"
	}
	return "in"
}

func (b backendStatus) stateText() string {
	if b.OutOfService {
		return b.State + ", out"
	}
	return b.State
}
