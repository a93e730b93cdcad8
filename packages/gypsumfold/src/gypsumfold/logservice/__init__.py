"""The log, the VM list and the weight store behind Protocols."""
