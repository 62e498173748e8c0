// Package member is the directory of nodes and back ends as leased soft state.
package member
