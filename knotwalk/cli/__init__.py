"""The operators' command line.

Owns the commands and what they print: checking files, comparing configurations, exporting the configuration from a
copied data folder, showing a core's status, and importing a configuration into a running system. It must not keep state
of its own, write into a data folder, or change a running system other than by the operators' call, and only with
--apply.
"""
