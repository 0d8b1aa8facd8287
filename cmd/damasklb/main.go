// Command damasklb dispatches sub-second tasks from callers to upstreams.
package main

import (
	"context"
	"os"

	"github.com/damasklb/damasklb/internal/cli"
)

func main() {
	env := cli.Env{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr}
	os.Exit(cli.Run(context.Background(), os.Args[1:], env))
}
