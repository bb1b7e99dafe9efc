// Command node is the load balancer process that runs beside a target.
package main

import (
	"os"

	"verbenapin.dev/node/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:]))
}
