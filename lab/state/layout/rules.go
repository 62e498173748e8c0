package layout

import (
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// ReplaceRuleFile replaces the rule file of one control process as an editor does, by renaming a new file over it.
func (f Fleet) ReplaceRuleFile(control string, number int, reason, body string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "format 1\nchange %d # %s\n", number, reason)
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
