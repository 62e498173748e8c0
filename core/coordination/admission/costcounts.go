package admission

// shedClasses is the number of classes by which refusals for lack of room are counted.
const shedClasses = 5

// CostCounts counts what admission by cost has decided since the start of the node.
type CostCounts struct {
	Shed        [shedClasses]uint64 // refused for lack of room: nested requests, then ranks 0, 1, 2, and 3 and above
	StartedLate uint64              // started although their objective could not be met
}

// ShedClassNames are the names of the classes in CostCounts.Shed.
var ShedClassNames = [shedClasses]string{"nested", "rank0", "rank1", "rank2", "rank3"}

// shedClass returns the index of a request in CostCounts.Shed.
func shedClass(a Arrive) int {
	if a.Nested {
		return 0
	}
	return 1 + min(max(a.Rank, 0), shedClasses-2)
}
