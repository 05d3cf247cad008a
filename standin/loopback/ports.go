package loopback

import (
	"context"
	"net"

	"github.com/urfave/cli/v3"

	"pimentospread"
)

const maxPorts = 256

// PortsCommand returns the subcommand that prints free ports. Hosts need
// their ports in their settings, before they start.
func PortsCommand() *cli.Command {
	return &cli.Command{
		Name:  "ports",
		Usage: "print ports that are free for both TCP and UDP, as a JSON list",
		Flags: []cli.Flag{&cli.IntFlag{Name: "count", Value: 1, Usage: "`NUMBER` of ports"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			ports, err := freePorts(ctx, c.Int("count"))
			if err != nil {
				return err
			}
			return Announce(c.Root().Writer, ports)
		},
	}
}

// freePorts keeps all sockets open until the end, so that the ports differ.
func freePorts(ctx context.Context, count int) ([]uint16, error) {
	if count < 1 || count > maxPorts {
		return nil, pimentospread.At(pimentospread.ErrInvalid.New("--count must be between 1 and %d, is %d", maxPorts, count), "settings", "")
	}
	var ports []uint16
	for tries := 0; len(ports) < count; tries++ {
		if tries == 4*maxPorts {
			return nil, pimentospread.At(pimentospread.ErrUnavailable.New("found %d of %d free ports", len(ports), count), "listen", "")
		}
		udp, err := ListenUDP(ctx, "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = udp.Close() }()
		tcp, err := (&net.ListenConfig{}).Listen(ctx, "tcp", udp.Address().String())
		if err != nil {
			continue // the port is taken for TCP
		}
		defer func() { _ = tcp.Close() }()
		ports = append(ports, udp.Address().Port())
	}
	return ports, nil
}
