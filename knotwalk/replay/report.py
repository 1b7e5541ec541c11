"""Renders the results of a what-if as one HTML page with embedded plots.

It computes nothing: all values come from the verdict, and are labelled as simulated.
"""

import io

import jinja2
import matplotlib
from matplotlib.figure import Figure

from knotwalk.replay.inference import InferredDay
from knotwalk.replay.verdict import BUCKET_S, Verdict, heard_by_bucket, service_by_bucket

matplotlib.rcParams.update({"svg.fonttype": "none", "svg.hashsalt": "knotwalk", "font.size": 9})
HEARD, RECORDED, TRIED = "0.55", "tab:blue", "tab:orange"


def render_svg(draw, height: float = 2.2) -> str:
    """Render one plot as SVG, with a time axis in minutes."""
    figure = Figure(figsize=(9, height), layout="constrained")
    axes = figure.add_subplot()
    draw(axes)
    axes.set_xlabel("minutes from the start")
    axes.grid(alpha=0.3)
    if axes.get_legend_handles_labels()[0]:
        axes.legend(loc="best", fontsize=8)
    out = io.StringIO()
    figure.savefig(out, format="svg", metadata={"Date": None})
    text = out.getvalue()
    return text[text.index("<svg") :]


def page(inferred: InferredDay, verdict: Verdict, names: list[str], conductor: str) -> str:
    """Render the page."""
    settings = inferred.lives[0].settings
    heard = service_by_bucket(heard_by_bucket(inferred), settings)

    def service(axes) -> None:
        axes.plot(
            [k * BUCKET_S / 60 for k in heard], list(heard.values()), color=HEARD, label="by the recorded reports"
        )
        for side, colour, label in (
            (verdict.recorded, RECORDED, "model, recorded settings"),
            (verdict.tried, TRIED, "model, other settings"),
        ):
            x, y = [at / 60 for at, _ in side.course], [value for _, value in side.course]
            axes.plot(x, y, color=colour, label=label)
            axes.fill_between(
                x,
                [max(0, value - verdict.error_span) for value in y],
                [min(1, value + verdict.error_span) for value in y],
                color=colour,
                alpha=0.12,
                linewidth=0,
            )
        axes.set_ylabel("service")

    def apart(axes) -> None:
        axes.fill_between(
            [at / 60 for at, _ in verdict.apart], [n for _, n in verdict.apart], step="post", color=TRIED, alpha=0.5
        )
        axes.set_ylabel("slices whose lines differ")

    def messages(axes) -> None:
        for side, colour, label in (
            (verdict.recorded, RECORDED, "recorded settings"),
            (verdict.tried, TRIED, "other settings"),
        ):
            axes.step(
                [k * BUCKET_S / 60 for k in sorted(side.messages)],
                [side.messages[k] for k in sorted(side.messages)],
                color=colour,
                label=label,
                where="post",
            )
        if settings.messages_most:
            axes.axhline(settings.messages_most, color="tab:red", linewidth=1, label="cap")
        axes.set_ylabel(f"most messages in {settings.messages_span:g} s")

    def load(axes) -> None:
        for side, colour, label in (
            (verdict.recorded, RECORDED, "recorded settings"),
            (verdict.tried, TRIED, "other settings"),
        ):
            keys = sorted(side.used)
            axes.plot(
                [k * BUCKET_S / 60 for k in keys],
                [side.used[k][1] for k in keys],
                color=colour,
                label=f"fullest server, {label}",
            )
            axes.plot(
                [k * BUCKET_S / 60 for k in keys],
                [side.used[k][0] for k in keys],
                color=colour,
                linestyle=":",
                label=f"mean, {label}",
            )
        axes.set_ylabel("utilization")

    environment = jinja2.Environment(loader=jinja2.PackageLoader("knotwalk.replay", ""), autoescape=True)
    plots = [
        ("Service by 10 s", service),
        ("Where tables differ", apart),
        ("Messages to a proxy against the cap", messages),
        ("Load by server", load),
    ]
    return environment.get_template("page.html").render(
        v=verdict,
        names=names,
        conductor=conductor,
        start=inferred.since,
        minutes=(inferred.until - inferred.since) / 60,
        plots=[(title, render_svg(draw)) for title, draw in plots],
        methods=list(zip(verdict.recorded.methods, verdict.tried.methods)),
        unsure=inferred.speed_spread,
    )


def write(path: str, inferred: InferredDay, verdict: Verdict, names: list[str], conductor: str) -> None:
    with open(path, "w", encoding="utf-8") as file:
        file.write(page(inferred, verdict, names, conductor))
