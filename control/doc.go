// Command control runs a control process. The control processes replicate rules and claims by consensus and keep the
// directory of nodes and their back ends in memory, from the nodes' announcements.
package main
