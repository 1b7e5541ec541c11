"""Benchmarks: `python -m benchmarks.NAME [--quick]` prints its results as one JSON object on the last line.

Timings are ratios within one run, so that they are comparable between machines; results that depend on what a stand-in
answered are simulated.
"""

import sys
from pathlib import Path

sys.path[:0] = [str(Path(__file__).parent.parent / "tests")]
