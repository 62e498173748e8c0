// Package allowance adds up what nodes report about the use of limited accounts, and exchanges the sums with the other control
// processes, so that each can tell its nodes the totals over all nodes. The state is soft: it comes back with the next reports.
package allowance
