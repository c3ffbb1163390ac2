"""Heads of workers' responses."""

from ..http.client import Headers, ResponseHead, end_to_end_headers

EVENT_STREAM = b"text/event-stream"


def response_headers(head: ResponseHead, keep_length: bool = False) -> Headers:
    """Return the headers of a worker's response as they are sent to the caller."""
    headers = end_to_end_headers(head.headers)
    if keep_length:
        return headers
    return [
        (name, value) for name, value in headers if name.lower() != b"content-length"
    ]


def is_event_stream(head: ResponseHead) -> bool:
    """Return whether a response may have events; a worker may name no content type."""
    content_type = head.get(b"content-type") or EVENT_STREAM
    return head.status == 200 and content_type.lower().startswith(EVENT_STREAM)
