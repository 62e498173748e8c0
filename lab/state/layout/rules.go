package layout

import (
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// ReplaceRuleFile writes the rule file of one control process: the header with a change number and its reason, the zones,
// and body. It renames a new file over the old one, as text editors do.
func (f Fleet) ReplaceRuleFile(control string, changeNumber int, reason, body string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "format 1\nchange %d # %s\n", changeNumber, reason)
	for _, z := range f.Zones {
		fmt.Fprintf(&b, "zone %s region=%s # ola: first sites\n", z.Name, z.Region)
	}
	b.WriteString(body)
	path := f.RuleFile(control)
	if err := os.WriteFile(path+".new", []byte(b.String()), 0o600); err != nil {
		return errors.Wrapf(err, "write the rule file of %s", control)
	}
	return errors.Wrapf(os.Rename(path+".new", path), "replace the rule file of %s", control)
}
