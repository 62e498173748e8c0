package demo

import (
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

const fixedRules = `zone oslo-a region=oslo # ola: first site
zone oslo-b region=oslo # ola: second site
zone oslo-c region=oslo # ola: third site
service booking host=booking.example path=/ # kari: boat booking
service records host=booking.example path=/book # kari: logbooks to download
limit booking slots=12 connections=240 queue=24 # ola: size of a VM
limit records slots=12 connections=240 queue=24 # ola: size of a VM
deadline booking 2s # kari: rowers wait outside
deadline records 20s # kari: large files
cold booking 2 # ola: what a new server bears
cold records 2 # ola: what a new server bears
probe booking 1% # ola: agreed budget
probe records 1% # ola: agreed budget
`

// edit replaces the rule file as an editor does, by renaming a new file over it.
func edit(dir string, number int, reason, extra string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "format 1\nchange %d # %s\n", number, reason)
	b.WriteString(fixedRules)
	b.WriteString(extra)
	temp := rulesFile(dir) + ".new"
	if err := os.WriteFile(temp, []byte(b.String()), 0o600); err != nil {
		return errors.Wrap(err, "write the rule file")
	}
	return errors.Wrap(os.Rename(temp, rulesFile(dir)), "replace the rule file")
}
