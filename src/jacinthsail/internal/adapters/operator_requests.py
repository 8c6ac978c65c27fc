"""Decodes the questions of operators at the metrics port."""

from urllib.parse import parse_qs, urlsplit

from jacinthsail.internal.model.where import WhereQuestion

WHERE_PATH = "/where"


def where_question(url: bytes) -> WhereQuestion | None:
    """Return the question where a request would go, or None if the URL asks for something else.

    >>> where_question(b"/where?host=h.example&path=/a/x&remaining_ms=500")
    WhereQuestion(host='h.example', path='/a/x', account='', remaining_time_s=0.5)
    """
    parts = urlsplit(url.decode("latin-1"))
    if parts.path != WHERE_PATH:
        return None
    values = {name: given[0] for name, given in parse_qs(parts.query).items()}
    remaining_ms = values.get("remaining_ms", "")
    return WhereQuestion(
        host=values.get("host", ""),
        path=values.get("path", "/"),
        account=values.get("account", ""),
        remaining_time_s=int(remaining_ms[:9]) / 1000 if remaining_ms.isdecimal() else None,
    )
