"""Creates TLS contexts from settings."""

import ssl

from ..settings.models import TlsSettings
from ..wire import TlsContexts


def inner_contexts(settings: TlsSettings | None) -> TlsContexts | None:
    """Return the TLS contexts of the inner protocol, or None for plain TCP.

    Both sides present a certificate and verify the other's against the authority. The
    host name is not checked, because the fleet key authenticates the peer.
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
