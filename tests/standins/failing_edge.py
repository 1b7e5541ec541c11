"""`python -m knotwalk.edge` with decisions that can be made to raise; see `failing_program`."""

from knotwalk.discovery.cluster_view import ClusterView
from knotwalk.edge.client_server import ClientServer
from tests.standins.failing_program import run

DECISIONS = [(ClusterView, "apply", "cluster view"), (ClientServer, "report", "load report")]

if __name__ == "__main__":
    run("knotwalk.edge", DECISIONS)
