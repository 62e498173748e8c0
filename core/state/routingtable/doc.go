// Package routingtable converts the routes, pools, accounts and caller limits of the rules from and to the JSON that programs read
// and change.
package routingtable
