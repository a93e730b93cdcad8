"""The node on a platform that has a store, a balancer and replicas."""
