"""The operator's settings file (HCL): reading and checking it.

Owns its fields, units and error messages. It must never change what the platform's configuration says, and nothing
here is loaded unless a file is named: the parser takes some 14 MB of memory.
"""
