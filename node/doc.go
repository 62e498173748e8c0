// Command node runs beside one back end: it admits attempts to it and carries callers to every service.
package main
