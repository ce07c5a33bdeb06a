// Command briarferry-report draws charts from the logs of a run into one SVG file. It is a
// separate program because the fonts of the plotting library would use memory in every
// process of the system.
package main

import (
	"os"

	"briarferry/internal/transport/bfreport"
)

func main() {
	os.Exit(bfreport.Main(os.Args, os.Stdin, os.Stderr))
}
