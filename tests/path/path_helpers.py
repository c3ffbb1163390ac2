"""Runs stand-ins and entry instances in the test process over loopback sockets."""

import random
from contextlib import asynccontextmanager
from dataclasses import dataclass

import trio

from acaciapier import Session
from acaciapier.app import Application
from acaciapier.configuration.state import token_digest
from acaciapier.entry.instance import EntryInstance
from acaciapier.settings import EntrySettings
from acaciapier_bench.deployment import free_port
from acaciapier_bench.seeding import seed_configuration
from acaciapier_standins import serve_standin
from acaciapier_standins.settings import (
    EngineSettings,
    InstanceListSettings,
    ObjectApiSettings,
    PoolSettings,
    ServiceSettings,
)

TOKEN = "token-sales"
OTHER_TOKEN = "token-other"
STAGES = [
    {"name": "embed", "kind": "encode", "pool": "encode"},
    {"name": "search", "kind": "retrieve", "pool": "retrieve", "needs": ["embed"]},
    {
        "name": "draft",
        "kind": "generate",
        "pool": "generate",
        "needs": ["search"],
        "max_tokens": 40,
    },
]
BOOKING = [
    {"name": "embed", "kind": "encode", "pool": "encode"},
    {
        "name": "book",
        "kind": "service",
        "pool": "dispatch",
        "needs": ["embed"],
        "repeatable": False,
    },
]
BUNDLE = [
    {"kind": "pool", "name": "encode", "serves": "encode"},
    {"kind": "pool", "name": "retrieve", "serves": "retrieve"},
    {"kind": "pool", "name": "generate", "serves": "generate"},
    {"kind": "pool", "name": "dispatch", "serves": "service"},
    {"kind": "pipeline", "name": "quote", "deadline_ms": 20_000, "stages": STAGES},
    {"kind": "pipeline", "name": "find", "deadline_ms": 20_000, "stages": STAGES[:2]},
    {"kind": "pipeline", "name": "book", "deadline_ms": 20_000, "stages": BOOKING},
    {"kind": "workspace", "name": "sales", "token_sha256": [token_digest(TOKEN)]},
    {"kind": "workspace", "name": "other", "token_sha256": [token_digest(OTHER_TOKEN)]},
]


@dataclass
class Deployment:
    """Running stand-ins and entry instances of a test."""

    entries: list[EntryInstance]
    standins: dict
    apps: list[Application]

    @property
    def urls(self):
        return [entry.url for entry in self.entries]

    def session(self, token=TOKEN, entry=None, ssl_context=None):
        urls = self.urls if entry is None else [self.urls[entry]]
        return Session(urls, token, ssl_context, rng=random.Random(1))

    def standin_report(self, name):
        return self.standins[name].standin.report()


@asynccontextmanager
async def open_deployment(entries=1, engine=None, tls=None):
    """Run stand-ins of all kinds and `entries` entry instances."""
    async with trio.open_nursery() as nursery:
        deployment = Deployment([], {}, [])
        deployment.standins["list"] = await nursery.start(
            serve_standin, InstanceListSettings()
        )
        deployment.standins["store"] = await nursery.start(
            serve_standin, ObjectApiSettings()
        )
        for settings in _target_settings(deployment.standins["list"].url, engine or {}):
            bound = await nursery.start(serve_standin, settings)
            deployment.standins[settings.id] = bound
        await seed_configuration(deployment.standins["store"].url, BUNDLE)
        for number in range(1, entries + 1):
            await _start_entry(deployment, nursery, number, tls)
        await _wait_for_targets(deployment)
        yield deployment
        for app in deployment.apps:
            app.stop()
        await trio.sleep(0)
        nursery.cancel_scope.cancel()


def _target_settings(list_url, engine):
    shared = {"instance_list_url": list_url}
    fast = {"median_ms": 2.0, **shared}
    engine = {"step_ms": 2.0, "step_ms_per_stream": 0.0, **engine}
    return [
        PoolSettings(id="encode-1", pool="encode", serves="encode", **fast),
        PoolSettings(id="encode-2", pool="encode", serves="encode", **fast),
        PoolSettings(id="retrieve-1", pool="retrieve", serves="retrieve", **fast),
        EngineSettings(id="generate-1", pool="generate", **engine, **shared),
        EngineSettings(id="generate-2", pool="generate", **engine, **shared),
        ServiceSettings(id="dispatch-1", pool="dispatch", **fast),
    ]


async def _start_entry(deployment, nursery, number, tls):
    settings = EntrySettings.model_validate(
        {
            "instance": {"id": f"entry-{number}", "data_centre": "a", "region": "r"},
            "listen": {"tls": tls},
            "inner": {"port": free_port(), "tls": tls},
            "fleet_keys": ["a key of the tests"],
            "platform": {
                "object_api_url": deployment.standins["store"].url,
                "instance_list_url": deployment.standins["list"].url,
            },
        }
    )
    entry = EntryInstance(settings, random.Random(number))
    app = Application(settings.instance.id)
    await nursery.start(app.run, entry.start)
    deployment.entries.append(entry)
    deployment.apps.append(app)


async def _wait_for_targets(deployment):
    """Wait until each entry instance has a live target in each pool."""
    pools = ("encode", "retrieve", "generate", "dispatch")
    with trio.fail_after(30):
        for entry in deployment.entries:
            while not all(entry.directory.has_targets(pool) for pool in pools):
                await trio.sleep(0.02)
