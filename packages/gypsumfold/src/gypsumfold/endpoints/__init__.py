"""Model engines and plain services, as the node meets them."""
