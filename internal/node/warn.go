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
	// warnTimeout bounds how long an answer waits until the admitting nodes of its service are warned.
	warnTimeout = 500 * time.Millisecond
	// askTimeout bounds how long a judgement waits for the evidence of other nodes.
	askTimeout = 300 * time.Millisecond
	// maxWarned bounds the nodes that are warned directly. Others learn through the store.
	maxWarned = 128
)

// warnService tells the admitting nodes of the service of a request that has crashed one of its targets. Every dispatch
// passes one of them, so that a resend is stopped before the store has spread the news.
func (n *Node) warnService(name model.ServiceName, entry []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), warnTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, address := range n.admittingNodes(name) {
		wg.Go(func() {
			// A node that cannot be told learns through the store.
			_ = n.peers.Warn(ctx, address, &peerv1.WarnRequest{Entry: entry})
		})
	}
	wg.Wait()
}

// askReports asks the other admitting nodes of the service for the evidence about their targets. Nodes that do
// not answer in time are left out.
func (n *Node) askReports(name model.ServiceName) []detect.Report {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
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

// admittingNodes returns the peer addresses of the other nodes that stand beside targets of the service.
func (n *Node) admittingNodes(name model.ServiceName) []string {
	service := n.acceptor.view.Load().Service(name)
	if service == nil {
		return nil
	}
	seen := map[model.NodeID]bool{n.self.ID: true}
	var addresses []string
	for _, t := range service.Targets {
		if seen[t.Node.ID] || len(addresses) == maxWarned {
			continue
		}
		seen[t.Node.ID] = true
		addresses = append(addresses, t.Node.PeerAddress)
	}
	return addresses
}
