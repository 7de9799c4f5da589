package main

import (
	"encoding/json"
	"net/netip"

	"github.com/spf13/cobra"

	"heatherrelay/internal/standin"
)

// listening is the line that a stand-in prints when it serves.
type listening struct {
	Listening netip.AddrPort `json:"listening"`
}

// listenFlag adds the flag for the address to serve on.
func listenFlag(cmd *cobra.Command, address *string) {
	cmd.Flags().StringVar(address, "listen", standin.Loopback.String(), "address to serve on; port 0 lets the kernel choose")
}

// serve runs a stand-in until the command is interrupted.
func serve(cmd *cobra.Command, address string, start func(netip.AddrPort) (*standin.Running, error)) error {
	listen, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	running, err := start(listen)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(cmd.OutOrStdout()).Encode(listening{running.Address}); err != nil {
		return err
	}
	<-cmd.Context().Done()
	return running.Close()
}
