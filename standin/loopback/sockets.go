package loopback

import (
	"bufio"
	"encoding/hex"
	"errors"
	"io/fs"
	"os"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	// socketsPath is the kernel's list of the IPv4 sockets of all processes; only Linux has it.
	socketsPath = "/proc/net/tcp"
	// stateTimeWait is the state of a connection that has ended, of which only the kernel keeps the addresses.
	stateTimeWait = "06"
)

// isInUse reports whether a socket has a local address of a network, besides the one that claims it.
func isInUse(octet int) (bool, error) {
	list, err := os.Open(socketsPath)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, eris.Wrap(err, "open the list of sockets")
	}
	defer list.Close()
	lines := bufio.NewScanner(list)
	// The first line holds the names of the columns.
	lines.Scan()
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 4 || fields[3] == stateTimeWait {
			continue
		}
		if isLeft(fields[1], octet) {
			return true, nil
		}
	}
	return false, eris.Wrap(lines.Err(), "read the list of sockets")
}

// isLeft reports whether a local address in the list, such as 0101647F:1B59 for 127.100.1.1:7001, is of a network and not
// the one that claims it.
func isLeft(local string, octet int) bool {
	address, portText, _ := strings.Cut(local, ":")
	ip, err := hex.DecodeString(address)
	if err != nil || len(ip) != 4 {
		return false
	}
	// The kernel writes the address as a number of the machine, whose lowest byte comes first.
	if ip[3] != 127 || int(ip[2]) != octet {
		return false
	}
	number, err := strconv.ParseUint(portText, 16, 16)
	isClaim := err == nil && number == claimPort && ip[1] == 0 && ip[0] == 1
	return !isClaim
}
