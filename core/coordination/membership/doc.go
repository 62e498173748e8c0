// Package membership is the directory of nodes and back ends as leased soft state.
package membership
