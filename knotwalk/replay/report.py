"""The page of a what-if: one HTML file with its plots inside, for a person who decides.

Owns its looks alone: every figure comes from the verdict, and is called simulated.
"""

import io

import jinja2
import matplotlib
from matplotlib.figure import Figure

from knotwalk.replay.past import Past
from knotwalk.replay.verdict import SPAN, Verdict, heard_by_span, spans

matplotlib.rcParams.update({"svg.fonttype": "none", "svg.hashsalt": "knotwalk", "font.size": 9})
HEARD, RECORDED, TRIED = "0.55", "tab:blue", "tab:orange"


def drawn(draw, height: float = 2.2) -> str:
    """One plot as SVG, its axis of time in minutes."""
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


def page(past: Past, v: Verdict, names: list[str], conductor: str) -> str:
    """The page's text."""
    settings = past.lives[0].settings
    heard = spans(heard_by_span(past), settings)

    def service(axes) -> None:
        axes.plot([k * SPAN / 60 for k in heard], list(heard.values()), color=HEARD, label="by the recorded reports")
        for side, colour, label in (
            (v.recorded, RECORDED, "model, recorded settings"),
            (v.tried, TRIED, "model, other settings"),
        ):
            x, y = [at / 60 for at, _ in side.course], [value for _, value in side.course]
            axes.plot(x, y, color=colour, label=label)
            axes.fill_between(
                x,
                [max(0, value - v.error_span) for value in y],
                [min(1, value + v.error_span) for value in y],
                color=colour,
                alpha=0.12,
                linewidth=0,
            )
        axes.set_ylabel("service")

    def apart(axes) -> None:
        axes.fill_between([at / 60 for at, _ in v.apart], [n for _, n in v.apart], step="post", color=TRIED, alpha=0.5)
        axes.set_ylabel("slices whose lines differ")

    def messages(axes) -> None:
        for side, colour, label in ((v.recorded, RECORDED, "recorded settings"), (v.tried, TRIED, "other settings")):
            axes.step(
                [k * SPAN / 60 for k in sorted(side.messages)],
                [side.messages[k] for k in sorted(side.messages)],
                color=colour,
                label=label,
                where="post",
            )
        if settings.messages_most:
            axes.axhline(settings.messages_most, color="tab:red", linewidth=1, label="cap")
        axes.set_ylabel(f"most messages in {settings.messages_span:g} s")

    def load(axes) -> None:
        for side, colour, label in ((v.recorded, RECORDED, "recorded settings"), (v.tried, TRIED, "other settings")):
            keys = sorted(side.used)
            axes.plot(
                [k * SPAN / 60 for k in keys],
                [side.used[k][1] for k in keys],
                color=colour,
                label=f"fullest server, {label}",
            )
            axes.plot(
                [k * SPAN / 60 for k in keys],
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
        v=v,
        names=names,
        conductor=conductor,
        start=past.since,
        minutes=(past.until - past.since) / 60,
        plots=[(title, drawn(draw)) for title, draw in plots],
        methods=list(zip(v.recorded.methods, v.tried.methods)),
        unsure=past.unsure,
    )


def write(path: str, past: Past, v: Verdict, names: list[str], conductor: str) -> None:
    with open(path, "w", encoding="utf-8") as file:
        file.write(page(past, v, names, conductor))
