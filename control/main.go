package main

import (
	"os"

	"pollenhill.example/control/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args, os.Stderr))
}
