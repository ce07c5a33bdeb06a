// Command briarferry runs every process of the traffic steering system.
package main

import (
	"os"

	"briarferry/internal/transport/bfcommand"
)

func main() {
	os.Exit(bfcommand.Main(os.Args))
}
