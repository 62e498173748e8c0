// Package allowance decides in a node which requests of limited accounts are within the allowance that holds over all nodes,
// from the totals that the control processes return for the reports of the node.
package allowance
