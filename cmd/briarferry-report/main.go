// Command briarferry-report draws the logs of a run as one picture. It is a program of its
// own, since the plotting library's fonts would take memory in every process.
package main

import (
	"os"

	"briarferry/internal/transport/bfreport"
)

func main() {
	os.Exit(bfreport.Main(os.Args, os.Stdin, os.Stderr))
}
