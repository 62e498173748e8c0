// Package membership is the directory of nodes and their back ends that the control processes keep. It is soft state: a node
// announces itself to one control process, the control processes exchange their changes, and a member whose lease is not
// renewed is removed.
package membership
