package main

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// The exit codes of the program.
const (
	exitOK      = 0
	exitFailure = 1
	exitInvalid = 2
)

// exitError carries the exit code that a command asks for.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the cause.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

// invalid marks an error as one of the input, which ends with exit code 2.
func invalid(err error) error { return &exitError{code: exitInvalid, err: err} }

// rootCommand returns the program's command tree.
func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "heatherrelay",
		Short:         "Serve very many LoRA adapters to many teams",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return invalid(err) })
	root.AddCommand(
		keyCommand(),
		releaseCommand(),
		serveCommand(),
		gatewayCommand(),
		versionCommand(),
		configCommand(),
		reportCommand(),
	)
	return root
}

// run executes the command line and returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	root := rootCommand()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(context.Background())
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(stderr, "heatherrelay:", err)
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	return exitFailure
}
