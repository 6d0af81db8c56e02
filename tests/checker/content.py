"""What the fakes answer to a text; the twin of tests/fakes/content.cc."""

import hashlib


def digest(text, label, index):
    data = f"{text}/{label}/{index}".encode()
    return hashlib.sha256(data).hexdigest()[:8]


def text_digest(text):
    """Digest by which a fake's record names the caller's text."""
    return digest(text, "text", 0)


def answer(text, tokens):
    """Whole answer of an engine that generates so many tokens."""
    return "".join(digest(text, "token", i) + " " for i in range(tokens))


def service_digest(body):
    return digest(body, "service", 0)
