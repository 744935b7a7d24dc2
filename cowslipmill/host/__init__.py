"""The host program: data plane and control plane of a host in one process."""
