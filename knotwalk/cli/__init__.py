"""The operators' command line.

Owns the commands and what they print: files checked, configurations told apart in meaning, what a copied disk holds, a
core's account of itself, a configuration offered to a running system. Must never hold state of its own, change a
running system but through the operators' call and when told to, or write into a data folder.
"""
