package fleet_test

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
)

// Columns of /proc/net/tcp, and their minimum number.
const (
	localColumn  = 1
	remoteColumn = 2
	inodeColumn  = 9
	columns      = 10
)

// peerSocket returns the name that /proc/PID/fd shows for the socket at the
// other end of an accepted loopback connection. It is empty if that socket is
// closed.
func peerSocket(accepted net.Conn) string {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer file.Close() //nolint:errcheck // only read
	local := socketAddress(accepted.RemoteAddr())
	remote := socketAddress(accepted.LocalAddr())
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) >= columns && fields[localColumn] == local && fields[remoteColumn] == remote {
			return "socket:[" + fields[inodeColumn] + "]"
		}
	}
	return ""
}

// socketAddress formats an IPv4 address and port as /proc/net/tcp does.
func socketAddress(address net.Addr) string {
	tcp := address.(*net.TCPAddr)
	ip := tcp.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
}

// holdsSocket reports whether the process has a socket open.
func (p *process) holdsSocket(socket string) bool {
	descriptors, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", p.cmd.Process.Pid))
	if err != nil || socket == "" {
		return false
	}
	for _, descriptor := range descriptors {
		if name, err := os.Readlink(descriptor); err == nil && name == socket {
			return true
		}
	}
	return false
}

// zoneRegistry maps processes to zones.
type zoneRegistry struct {
	mu    sync.Mutex
	zones map[*process]string
}

func (r *zoneRegistry) add(p *process, zone string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.zones == nil {
		r.zones = map[*process]string{}
	}
	r.zones[p] = zone
}

// zoneOf returns the zone of the process that opened an accepted connection, or
// an empty string if no registered process has.
func (r *zoneRegistry) zoneOf(accepted net.Conn) string {
	socket := peerSocket(accepted)
	r.mu.Lock()
	defer r.mu.Unlock()
	for p, zone := range r.zones {
		if p.holdsSocket(socket) {
			return zone
		}
	}
	return ""
}

func (f *forwarder) sourceZone(accepted net.Conn) string {
	if f.zoneOf == nil {
		return ""
	}
	return f.zoneOf(accepted)
}

// rejectIfBlocked reports whether a new connection from a zone is to be closed,
// and counts it if so.
func (f *forwarder) rejectIfBlocked(zone string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isBlocked == nil || !f.isBlocked(zone) {
		return false
	}
	f.blockedConns++
	return true
}

// setBlocked closes existing and new connections from the zones for which
// isBlocked returns true; nil blocks none.
func (f *forwarder) setBlocked(isBlocked func(zone string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isBlocked = isBlocked
	for l := range f.links {
		if isBlocked != nil && isBlocked(l.zone) {
			f.blockedConns++
			_ = l.client.Close()
			_ = l.server.Close()
		}
	}
}
