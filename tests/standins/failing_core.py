"""`python -m knotwalk.control_plane` with decisions that can be made to raise; see `failing_program`."""

from knotwalk.control_plane import list_poller
from knotwalk.discovery import view_publisher
from knotwalk.discovery.loads import LoadReports
from knotwalk.discovery.node_listing import NodeListing
from knotwalk.discovery.outliers import OutlierDetection
from knotwalk.placement.placer import Placer
from knotwalk.shared_state.escrow import Escrow
from tests.standins.failing_program import run

DECISIONS = [
    (list_poller, "reassign", "lease balance"),
    (NodeListing, "add_page", "platform list"),
    (LoadReports, "add_report", "load report"),
    (OutlierDetection, "evaluate", "outliers"),
    (Placer, "place", "placement"),
    (Escrow, "pending_requests", "allowances"),
    (view_publisher, "diff_documents", "configuration difference"),
]

if __name__ == "__main__":
    run("knotwalk.control_plane", DECISIONS)
