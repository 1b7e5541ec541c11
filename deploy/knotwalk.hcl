# The operator's own file, read by `knotwalk serve --operator deploy/knotwalk.hcl`. The platform's `run` does not name it.

# Records everything that the conductor receives and orders, for `knotwalk replay` (docs/guides/replay.md).
record {
  enabled     = false
  path        = "/var/lib/knotwalk/recordings"
  budget      = "20GiB" # the oldest files are removed when all together take more
  segment     = "64MiB" # of one file
  segment_age = "1h"
  checkpoint  = "60s" # a replay may start at each checkpoint
}

# Publishes tables to proxies and observers that subscribe (docs/guides/pubsub.md).
pubsub {
  enabled = false
  listen  = "127.0.0.1:3100"
}
