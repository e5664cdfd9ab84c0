package settings

import (
	"fmt"

	"github.com/sardinereach/sardinereach/internal/model"
)

// These bounds reject values with a mistyped unit. Such a value could make the node refuse every request or have
// practically no limit.
const (
	maxSizeBytes   = 1 << 40
	maxHeaderLimit = 1 << 20
	maxCount       = 1 << 24
)

func nodeID(s *Settings, text string) *problem {
	s.Node.ID = model.NodeID(text)
	return checkName(text)
}

func region(s *Settings, text string) *problem {
	s.Node.Region = model.Region(text)
	return checkName(text)
}

func failureDomain(s *Settings, text string) *problem {
	s.Node.FailureDomain = model.FailureDomain(text)
	return checkName(text)
}

func callersAddress(s *Settings, text string) *problem {
	return readListenAddress(text, &s.Listen.Callers)
}

func peersAddress(s *Settings, text string) *problem {
	return readListenAddress(text, &s.Listen.Peers)
}

func operatorsAddress(s *Settings, text string) *problem {
	return readListenAddress(text, &s.Listen.Operators)
}

func upstreamsAddress(s *Settings, text string) *problem {
	return readListenAddress(text, &s.Listen.Upstreams)
}

func storeAddress(s *Settings, text string) *problem {
	return readRemoteAddress(text, &s.Store.Address)
}

func storeTimeout(s *Settings, text string) *problem {
	return readDuration(text, &s.Store.Timeout)
}

func seeds(s *Settings, text string) *problem {
	return readAddressList(text, &s.Peers.Seeds)
}

func token(s *Settings, text string) *problem {
	s.Operators.Token = text
	return checkToken(text)
}

func maxBody(s *Settings, text string) *problem {
	return readSize(text, 1, maxSizeBytes, &s.Limits.MaxBodyBytes)
}

func maxHeader(s *Settings, text string) *problem {
	return readSize(text, 1, maxHeaderLimit, &s.Limits.MaxHeaderBytes)
}

func maxConnections(s *Settings, text string) *problem {
	return readCount(text, 1, maxCount, &s.Limits.MaxConnections)
}

func maxRequests(s *Settings, text string) *problem {
	return readCount(text, 1, maxCount, &s.Limits.MaxRequests)
}

func readHeaderTimeout(s *Settings, text string) *problem {
	return readDuration(text, &s.Limits.ReadHeaderTimeout)
}

func idleTimeout(s *Settings, text string) *problem {
	return readDuration(text, &s.Limits.IdleTimeout)
}

func retainedResponses(s *Settings, text string) *problem {
	return readSize(text, 0, maxSizeBytes, &s.Limits.RetainedResponseBytes)
}

func queuePerTarget(s *Settings, text string) *problem {
	return readCount(text, 0, maxCount, &s.Limits.QueuePerTarget)
}

func linkBytes(s *Settings, text string) *problem {
	return readSize(text, 0, maxSizeBytes, &s.Limits.LinkBytesPerSecond)
}

func grace(s *Settings, text string) *problem {
	return readDuration(text, &s.Shutdown.Grace)
}

func lameDuck(s *Settings, text string) *problem {
	return readDuration(text, &s.Shutdown.LameDuck)
}

func nodeInterface(s *Settings, text string) *problem {
	s.Node.Interface = Interface(text)
	switch s.Node.Interface {
	case InterfaceOwn, InterfacePlatform:
		return nil
	}
	return &problem{fmt.Sprintf("%q is not an interface", text), "own or platform"}
}

func healthAddress(s *Settings, text string) *problem {
	return readOptionalAddress(text, &s.Listen.Health)
}

func metricsAddress(s *Settings, text string) *problem {
	return readOptionalAddress(text, &s.Listen.Metrics)
}

func upstreamService(s *Settings, text string) *problem {
	s.Upstream.Service = model.ServiceName(text)
	if text == "" {
		return nil
	}
	return checkName(text)
}

func retryShare(s *Settings, text string) *problem {
	return readNumber(text, 0, 1, &s.Retries.Share)
}

func retryFleet(s *Settings, text string) *problem {
	return readNumber(text, 0, maxCount, &s.Retries.FleetPerSecond)
}

func retryBurst(s *Settings, text string) *problem {
	return readNumber(text, 0, maxCount, &s.Retries.Burst)
}

func retryWindowExtra(s *Settings, text string) *problem {
	return readNumber(text, 0, maxCount, &s.Retries.WindowExtra)
}

func retryStatuses(s *Settings, text string) *problem {
	return readStatuses(text, &s.Retries.Statuses)
}

func ejectionDetector(s *Settings, text string) *problem {
	return readYesNo(text, &s.Ejection.Detector)
}

func ejectionPermits(s *Settings, text string) *problem {
	return readYesNo(text, &s.Ejection.Permits)
}

func floorShare(s *Settings, text string) *problem {
	return readNumber(text, 0, 1, &s.Ejection.FloorShare)
}
