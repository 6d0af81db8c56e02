"""Expected replies of the fakes; must match tests/fakes/content.cc."""

import hashlib


def digest(text, label, index):
    data = f"{text}/{label}/{index}".encode()
    return hashlib.sha256(data).hexdigest()[:8]


def text_digest(text):
    """Returns the digest that identifies the text in the fakes' records."""
    return digest(text, "text", 0)


def answer(text, tokens):
    """Returns the complete reply of an engine with that number of tokens."""
    return "".join(digest(text, "token", i) + " " for i in range(tokens))


def service_digest(body):
    return digest(body, "service", 0)
