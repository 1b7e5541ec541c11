"""Admission: limits and retries.

Owns budgets, admission, deadlines and what an outcome proves. Pure; must never touch a connection.
"""
