package command

import (
	"fmt"

	"pollenhill.example/core/state/rule"
)

// numberProblem says that a change does not follow the one in force.
func numberProblem(number, force uint64, text string) rule.Problem {
	who := rule.ChangeReason(text)
	return rule.Problem{
		Line: 2, Column: len("change ") + 1,
		Reason:  fmt.Sprintf("change %d does not follow change %d, which is in force", number, force),
		Example: fmt.Sprintf("change %d # %s", force+1, who),
	}
}
