package main

import (
	"context"
	"fmt"
	"os"

	"verbenapin.dev/measure/proof"
)

type proveCommand struct {
	Node string   `long:"node" env:"MEASURE_NODE" description:"node program, by default the one beside this program"`
	Only []string `long:"only" description:"name of a case to run; by default all run"`
	ctx  context.Context
}

// FailedCasesError reports the number of cases that failed.
type FailedCasesError struct{ Failed int }

func (e FailedCasesError) Error() string {
	return fmt.Sprintf("measure: %d cases found a failure", e.Failed)
}

// Execute runs the cases.
func (c *proveCommand) Execute([]string) error {
	binary, err := nodeBinary(c.Node)
	if err != nil {
		return err
	}
	if failed := proof.Run(c.ctx, binary, c.Only, os.Stdout); failed > 0 {
		return FailedCasesError{Failed: failed}
	}
	return nil
}
