"""Stand-ins of the systems that cowslipmill talks to."""
