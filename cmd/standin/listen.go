package main

import (
	"encoding/json"
	"net/netip"

	"github.com/spf13/cobra"

	"heatherrelay/internal/standin"
)

// listening is the JSON line that a stand-in prints once it listens.
type listening struct {
	Listening netip.AddrPort `json:"listening"`
}

// listenFlag adds the flag for the address to listen on.
func listenFlag(cmd *cobra.Command, address *string) {
	cmd.Flags().StringVar(address, "listen", standin.Loopback.String(), "address to listen on; port 0 lets the kernel choose the port")
}

// serve starts a stand-in, prints its address, and closes it when the command's
// context ends.
func serve(cmd *cobra.Command, address string, start func(netip.AddrPort) (*standin.Server, error)) error {
	listen, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	server, err := start(listen)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(cmd.OutOrStdout()).Encode(listening{server.Address}); err != nil {
		return err
	}
	<-cmd.Context().Done()
	return server.Close()
}
