"""Tests of requests with TLS on the caller-facing and inner listeners."""

import random
import ssl

import pytest
import trustme
from path_helpers import open_deployment

from acaciapier import NotRun
from acaciapier.core.clock import SystemClock
from acaciapier.request_ids import make_request_id


@pytest.fixture
def authority():
    return trustme.CA()


@pytest.fixture
def tls(authority, tmp_path):
    issued = authority.issue_cert("127.0.0.1", "localhost")
    certificate, key = tmp_path / "instance.pem", tmp_path / "instance.key"
    trusted = tmp_path / "authority.pem"
    certificate.write_bytes(b"".join(c.bytes() for c in issued.cert_chain_pems))
    key.write_bytes(issued.private_key_pem.bytes())
    trusted.write_bytes(authority.cert_pem.bytes())
    return {
        "certificate_path": str(certificate),
        "key_path": str(key),
        "authority_path": str(trusted),
    }


async def test_claimed_request_over_tls_between_callers_and_instances(authority, tls):
    context = ssl.create_default_context()
    authority.configure_trust(context)
    request_id = make_request_id(SystemClock(), random.Random(3))
    async with open_deployment(2, tls=tls) as deployment:
        assert all(url.startswith("https://") for url in deployment.urls)
        answers = []
        for entry in (0, 1):
            async with deployment.session(entry=entry, ssl_context=context) as session:
                answers.append(
                    await session.run("book", {"a": 1}, request_id=request_id)
                )
        assert len(deployment.standin_report("dispatch-1")["entries"]) == 1
    assert answers[0].value == answers[1].value


async def test_caller_that_does_not_trust_the_authority_cannot_connect(tls):
    async with open_deployment(1, tls=tls) as deployment:
        context = ssl.create_default_context()
        async with deployment.session(ssl_context=context) as session:
            with pytest.raises(NotRun):
                await session.run("quote", {}, deadline_ms=1)
