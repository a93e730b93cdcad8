"""Node to node: thrift messages, framing, heartbeats, digests."""
