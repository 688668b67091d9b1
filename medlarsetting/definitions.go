package medlarsetting

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"medlarwheel"
)

// parser parses a value into its setting. For an invalid value it returns a description of the accepted values and false.
type parser func(value string) (accepted string, ok bool)

// definition describes one setting.
type definition struct {
	name         string
	defaultValue string
	help         string
	// secret settings are read from the environment only and are never displayed.
	secret bool
	parse  parser
}

func definitions(s *Settings) []definition {
	return append(addressDefinitions(s), limitDefinitions(s)...)
}

func addressDefinitions(s *Settings) []definition {
	return []definition{
		{name: "instance", defaultValue: "entry-1", help: "id of this entry instance", parse: parseName(&s.Instance)},
		{name: "data-centre", defaultValue: "dc-1", help: "data centre of this instance", parse: parseName(&s.DataCentre)},
		{
			name: "data-centres", defaultValue: "dc-1", parse: parseNames(&s.DataCentres),
			help: "every data centre of the system, separated by commas; must be the same on every instance",
		},
		{name: "listen", defaultValue: "127.0.0.1:7000", help: "address for clients and operators", parse: parseAddress(&s.Listen)},
		{name: "listen-peer", defaultValue: "127.0.0.1:7100", help: "address for other entry instances", parse: parseAddress(&s.ListenPeer)},
		{
			name: "advertise-peer", defaultValue: "", parse: optional(parseAddress(&s.AdvertisePeer)),
			help: "address under which other instances reach listen-peer; empty means listen-peer",
		},
		{name: "platform", defaultValue: "127.0.0.1:7700", help: "address of the platform's services", parse: parseAddress(&s.Platform)},
		{
			name: "seeds", defaultValue: "", parse: parseAddresses(&s.Seeds),
			help: "peer addresses to contact when the instance list is unavailable, separated by commas",
		},
		{name: "system-key", secret: true, help: "key shared by all entry instances", parse: parseKey(&s.SystemKey, minKeyLength)},
		{name: "operator-key", secret: true, help: "key for operator commands; if empty, operator commands need no key", parse: optional(parseKey(&s.OperatorKey, minKeyLength))},
		{name: "log-level", defaultValue: "info", help: "minimum level that is logged", parse: parseLogLevel(&s.LogLevel)},
	}
}

func limitDefinitions(s *Settings) []definition {
	const millisecond, second, minute = time.Millisecond, time.Second, time.Minute
	return []definition{
		{name: "list-interval", defaultValue: "1s", help: "time between reads of the instance list", parse: parseDuration(&s.ListInterval, 100*millisecond, 10*second)},
		{name: "config-interval", defaultValue: "2s", help: "time between reads of configuration changes", parse: parseDuration(&s.ConfigInterval, 100*millisecond, 4*second)},
		{name: "exchange-interval", defaultValue: "1s", help: "time between exchanges with peers", parse: parseDuration(&s.ExchangeInterval, 50*millisecond, 5*second)},
		{name: "platform-timeout", defaultValue: "1s", help: "time limit of one call to the platform", parse: parseDuration(&s.PlatformTimeout, 10*millisecond, 10*second)},
		{name: "peer-timeout", defaultValue: "200ms", help: "time limit of one call to a peer", parse: parseDuration(&s.PeerTimeout, 5*millisecond, 5*second)},
		{name: "balancer-delay", defaultValue: "3s", help: "time between failing the readiness probe and refusing connections during a graceful shutdown", parse: parseDuration(&s.BalancerDelay, 0, minute)},
		{name: "stop-timeout", defaultValue: "30s", help: "maximum time that a graceful shutdown waits for requests in flight", parse: parseDuration(&s.StopTimeout, second, 10*minute)},
		{name: "read-timeout", defaultValue: "10s", help: "time in which a client must send its whole request", parse: parseDuration(&s.ReadTimeout, 100*millisecond, 5*minute)},
		{name: "max-header", defaultValue: "16384", help: "maximum size of a request header in bytes", parse: parseInt(&s.MaxHeader, 1024, 1<<20)},
		{name: "max-body", defaultValue: "1048576", help: "maximum size of a request body in bytes", parse: parseInt(&s.MaxBody, 0, 64<<20)},
		{name: "max-connections", defaultValue: "20000", help: "maximum number of open client connections", parse: parseInt(&s.MaxConnections, 1, 1_000_000)},
	}
}

const (
	minKeyLength = 16
	maxKeyLength = 512
)

func parseName[T ~string](target *T) parser {
	return func(value string) (string, bool) {
		faults := medlarwheel.CheckName("", value)
		if len(faults) > 0 {
			return faults[0].Accepted, false
		}
		*target = T(value)
		return "", true
	}
}

func parseNames[T ~string](target *[]T) parser {
	return func(value string) (string, bool) {
		var names []T
		for _, part := range strings.Split(value, ",") {
			var name T
			if accepted, ok := parseName(&name)(strings.TrimSpace(part)); !ok {
				return "names separated by commas, each " + accepted, false
			}
			names = append(names, name)
		}
		*target = names
		return "", true
	}
}

func parseAddress(target *string) parser {
	return func(value string) (string, bool) {
		if faults := medlarwheel.CheckAddress("", value); len(faults) > 0 {
			return faults[0].Accepted, false
		}
		*target = value
		return "", true
	}
}

func parseAddresses(target *[]string) parser {
	return func(value string) (string, bool) {
		var addresses []string
		for _, part := range strings.Split(value, ",") {
			part = strings.TrimSpace(part)
			if part == "" {
				continue
			}
			if faults := medlarwheel.CheckAddress("", part); len(faults) > 0 {
				return "addresses separated by commas, each " + faults[0].Accepted, false
			}
			addresses = append(addresses, part)
		}
		*target = addresses
		return "", true
	}
}

func optional(p parser) parser {
	return func(value string) (string, bool) {
		if value == "" {
			return "", true
		}
		return p(value)
	}
}

func parseKey(target *string, minLength int) parser {
	return func(value string) (string, bool) {
		if len(value) < minLength || len(value) > maxKeyLength {
			return fmt.Sprintf("%d to %d characters", minLength, maxKeyLength), false
		}
		*target = value
		return "", true
	}
}

func parseLogLevel(target *string) parser {
	return func(value string) (string, bool) {
		if _, err := zerolog.ParseLevel(value); err != nil || value == "" {
			return "trace, debug, info, warn, error", false
		}
		*target = value
		return "", true
	}
}

func parseDuration(target *time.Duration, low, high time.Duration) parser {
	return func(value string) (string, bool) {
		parsed, err := time.ParseDuration(value)
		if err != nil || parsed < low || parsed > high {
			return fmt.Sprintf("a duration from %s to %s", low, high), false
		}
		*target = parsed
		return "", true
	}
}

func parseInt(target *int, low, high int) parser {
	return func(value string) (string, bool) {
		parsed, err := strconv.Atoi(value)
		if err != nil || parsed < low || parsed > high {
			return fmt.Sprintf("a whole number from %d to %d", low, high), false
		}
		*target = parsed
		return "", true
	}
}
