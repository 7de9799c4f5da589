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
	exitOK           = 0
	exitFailure      = 1
	exitInvalidInput = 2
)

// exitError is an error that determines the exit code of the program.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the cause.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

// invalidInput marks an error as caused by invalid input, which gives exit code 2.
func invalidInput(err error) error { return &exitError{code: exitInvalidInput, err: err} }

// rootCommand returns the program's command tree.
func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "heatherrelay",
		Short:         "Serve very many LoRA adapters to many teams",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return invalidInput(err) })
	root.AddCommand(
		keyCommand(),
		releaseCommand(),
		serveCommand(),
		gatewayCommand(),
		versionCommand(),
		configCommand(),
		configurationCommand(),
		reportCommand(),
	)
	return root
}

// run executes the command line args, prints an error to stderr, and returns the exit
// code.
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
