// Command quetzalgrade is a router that sends the requests of client accounts to
// versions of models and to plain services.
package main

import (
	"os"

	"quetzalgrade.example/quetzalgrade/internal/commander"
)

func main() {
	os.Exit(commander.Main(os.Args, os.Stdout, os.Stderr))
}
