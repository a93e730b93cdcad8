"""Communication between nodes: thrift messages, framing and heartbeats."""
