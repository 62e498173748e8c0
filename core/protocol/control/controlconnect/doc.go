// Package controlconnect holds the generated connect-go clients and handlers of package control.
package controlconnect
