package command

import (
	"fmt"

	"pollenhill.example/core/state/rule"
)

// changeNumberProblem returns the problem of a rule file whose change number is not the one after the number in force.
// Its example keeps the author and reason of the change in text.
func changeNumberProblem(number, inForce uint64, text string) rule.Problem {
	reason := rule.ChangeReason(text)
	return rule.Problem{
		Line: 2, Column: len("change ") + 1,
		Reason:  fmt.Sprintf("change %d does not follow change %d, which is in force", number, inForce),
		Example: fmt.Sprintf("change %d # %s", inForce+1, reason),
	}
}
