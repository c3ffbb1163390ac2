"""TLS contexts from settings."""

import ssl

from ..settings.models import TlsSettings
from ..wire import TlsContexts


def inner_contexts(settings: TlsSettings | None) -> TlsContexts | None:
    """Return the contexts of the inner protocol, or None for plain TCP.

    Both sides show a certificate and check the other's against the authority;
    who a peer is, the fleet key proves.
    """
    if settings is None:
        return None
    server = ssl.create_default_context(
        ssl.Purpose.CLIENT_AUTH, cafile=settings.authority_path
    )
    server.load_cert_chain(settings.certificate_path, settings.key_path)
    server.verify_mode = ssl.CERT_REQUIRED
    client = ssl.create_default_context(
        ssl.Purpose.SERVER_AUTH, cafile=settings.authority_path
    )
    client.load_cert_chain(settings.certificate_path, settings.key_path)
    client.check_hostname = False
    return TlsContexts(server=server, client=client)
