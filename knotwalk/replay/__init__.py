"""Replays of recorded days: exact, and simulated under other settings or another policy (what-if).

What a recording proves is kept separate from what a model estimates. A replay must never omit a broken rule, rank
settings that it can't distinguish, or present a result of the model as anything but simulated.
"""
