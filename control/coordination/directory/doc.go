// Package directory runs the membership model of a control process, which lists the live nodes and their back ends, in
// one goroutine and carries out its effects.
package directory
