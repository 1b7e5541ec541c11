"""Stand-ins: fake peers, scripted days and fault injectors for tests and benchmarks. Nothing here is the product."""
