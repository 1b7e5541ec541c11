"""Replays of recorded days: exact, and under other settings or another policy.

Owns what a recording proves and what a model of the day makes likely, and keeps the two apart. It must never trim
what a setting would have broken, rank what it cannot tell apart, or call a figure of the model anything but simulated.
"""
