"""Admission: limits and retries.

Holds retry budgets, admission to nodes, deadlines, and what the outcome of a try proves. Pure; must never touch a
connection.
"""
