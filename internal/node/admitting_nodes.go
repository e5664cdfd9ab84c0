package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/detect"
	"github.com/sardinereach/sardinereach/internal/model"
)

const (
	// notifyTimeout limits how long a response is delayed by the notification of the admitting nodes of its service.
	notifyTimeout = 500 * time.Millisecond
	// reportRequestTimeout limits how long the failure detector waits for the reports of other nodes.
	reportRequestTimeout = 300 * time.Millisecond
	// maxContactedNodes limits the nodes that receive a crash notification or a report request directly. Further nodes receive
	// crash entries through the store, and their reports arrive by gossip.
	maxContactedNodes = 128
)

// notifyAdmittingNodes sends the entry of a request that has crashed a target to the other admitting nodes of the service.
// Every dispatch passes through an admitting node, so a client retry is stopped before the entry has propagated through the
// store.
func (n *Node) notifyAdmittingNodes(name model.ServiceName, entry []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, address := range n.admittingNodes(name) {
		wg.Go(func() {
			// A node that does not receive the notification gets the entry through the store.
			_ = n.peers.Warn(ctx, address, &peerv1.WarnRequest{Entry: entry})
		})
	}
	wg.Wait()
}

// fetchReports requests the reports of the other admitting nodes of the service on their targets. Nodes that do not respond
// in time are left out.
func (n *Node) fetchReports(name model.ServiceName) []detect.Report {
	ctx, cancel := context.WithTimeout(context.Background(), reportRequestTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []detect.Report
	for _, address := range n.admittingNodes(name) {
		wg.Go(func() {
			res, err := n.peers.Reports(ctx, address, &peerv1.ReportsRequest{Service: string(name)})
			if err != nil {
				return
			}
			var reports []detect.Report
			if json.Unmarshal(res.Reports, &reports) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, reports...)
		})
	}
	wg.Wait()
	return all
}

// admittingNodes returns the peer addresses of the other admitting nodes of the service, at most maxContactedNodes.
func (n *Node) admittingNodes(name model.ServiceName) []string {
	service := n.acceptor.view.Load().Service(name)
	if service == nil {
		return nil
	}
	seen := map[model.NodeID]bool{n.self.ID: true}
	var addresses []string
	for _, t := range service.Targets {
		if seen[t.Node.ID] || len(addresses) == maxContactedNodes {
			continue
		}
		seen[t.Node.ID] = true
		addresses = append(addresses, t.Node.PeerAddress)
	}
	return addresses
}
