"""A whole local deployment with one request, shown step by step."""

from dataclasses import dataclass

import cappa
import trio
from rich.console import Console
from rich.table import Table

import acaciapier

from .deployment import Deployment
from .plans import riviere_noire

TOKEN = "test-token-hotels"


@cappa.command(name="demo")
@dataclass
class Demo:
    """Run a local deployment on stand-ins and one request through it."""

    def __call__(self) -> None:
        """Run the demonstration."""
        trio.run(run_demo, Console())


async def run_demo(console: Console) -> None:
    """Start a deployment, run one request, print its parts and its cost."""
    plan = riviere_noire()
    console.print("Starting the platform's stand-ins, the targets and the instances.")
    async with Deployment(plan) as deployment:
        await deployment.start()
        console.print(f"{len(deployment.members)} processes run.")
        urls = [member.url for member in deployment.entries]
        async with acaciapier.Session(urls, TOKEN) as session:
            await _show_request(session, console)
        console.print("Stopping.")
    console.print("Everything has stopped.")


async def _show_request(session: acaciapier.Session, console: Console) -> None:
    follower = session.follow("quote", {"text": "12 bowls and 3 vent cones"})
    console.print(f"Request {follower.request_id}: quote")
    async for part in follower.parts():
        console.print(part.text, end="", style="green", highlight=False)
    answer = follower.answer
    console.print(f"\n{answer.count} tokens, checked against digest {answer.digest}")
    console.print(_cost_table(answer))


def _cost_table(answer: acaciapier.Answer) -> Table:
    table = Table("stage", "calls", "time (ms)", "units", title="Cost by stage")
    for stage, numbers in answer.cost.items():
        units = {
            name: amount
            for name, amount in numbers.items()
            if name not in ("calls", "wasted_calls", "service_ms")
        }
        shown = ", ".join(f"{name} {amount:g}" for name, amount in units.items())
        table.add_row(
            stage, f"{numbers['calls']:g}", f"{numbers['service_ms']:.1f}", shown
        )
    return table
