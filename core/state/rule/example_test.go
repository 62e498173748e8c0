package rule_test

import (
	"fmt"

	"pollenhill.example/core/state/rule"
)

func ExampleParse() {
	_, err := rule.Parse("format 1\nchange 8 # kari: more lookups\nservice booking path=/\nretry bokking 10% # ola: less\n")
	fmt.Println(err)
	// Output:
	// line 3, column 23: the comment must say who asked and why, in the form "# who: why"
	//     for example: service booking path=/ # kari: reason for this line
	// line 4, column 7: service "bokking" is not defined in this file
	//     for example: retry booking 10% # ola: less
}

func ExampleDiff() {
	old := "format 1\nchange 7 # kari: first\nzone oslo-a region=oslo # ola: site\n"
	text := "format 1\nchange 8 # kari: rewiring\nzone oslo-a region=oslo # ola: site\nout zone oslo-a last # kari: rewiring\n"
	edits := rule.Diff(old, text)
	for _, e := range edits {
		fmt.Printf("%d %d %q\n", e.Start, e.Count, e.Lines)
	}
	got, err := rule.Patch(old, edits, rule.Hash(text))
	fmt.Println(got == text, err)
	// Output:
	// 1 1 ["change 8 # kari: rewiring\n"]
	// 3 0 ["out zone oslo-a last # kari: rewiring\n"]
	// true <nil>
}

func ExampleSet_ServiceFor() {
	set, err := rule.Parse("format 1\nchange 8 # kari: more lookups\nservice booking host=booking.example path=/free # kari: lookups\n")
	if err != nil {
		fmt.Println(err)
		return
	}
	service, ok := set.ServiceFor("booking.example:8080", "/free/today")
	fmt.Println(service.Name, service.Deadline, ok)
	// Output: booking 2s true
}
