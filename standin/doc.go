// Command standin is a stand-in back end for tests and the demo.
package main
