// Command briarferry runs the processes of the traffic steering system and has the commands
// that operators and tests use.
package main

import (
	"os"

	"briarferry/internal/transport/bfcommand"
)

func main() {
	os.Exit(bfcommand.Main(os.Args))
}
