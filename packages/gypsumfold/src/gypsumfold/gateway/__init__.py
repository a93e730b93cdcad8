"""The gateway: the node on a platform with a store, balancer and replicas."""
