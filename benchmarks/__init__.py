"""Measurements: python -m benchmarks.NAME [--quick] prints one JSON object of figures as its last line.

Timings are ratios within one run, so that they hold on any machine; whatever a stand-in answered is simulated.
"""

import sys
from pathlib import Path

sys.path[:0] = [str(Path(__file__).parent.parent / "tests")]
