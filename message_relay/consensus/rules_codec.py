"""A rule set as JSON, and its digest. No I/O."""

from __future__ import annotations

import hashlib

import msgspec

from .rules import MAX_RULES_BYTES, Rules, RulesError
from .rules_intersection import normalize
from .rules_validation import validate_rules

DIGEST_CHARACTERS = 16
_ENCODER = msgspec.json.Encoder(order="deterministic")


def encode_rules(rules: Rules) -> bytes:
    """Encode a rule set; equivalent sets have the same encoding in every build."""
    return _ENCODER.encode(normalize(rules))


def digest(rules: Rules) -> str:
    """Return the identity of a rule set, in hexadecimal."""
    return hashlib.sha256(encode_rules(rules)).hexdigest()[:DIGEST_CHARACTERS]


def decode_rules(raw: bytes) -> Rules:
    """Decode and validate a rule set; a faulty set is rejected as a whole.

    Raises:
        RulesError: names the field and its valid values.
    """
    if len(raw) > MAX_RULES_BYTES:
        raise RulesError(f"rules: {len(raw)} bytes: {MAX_RULES_BYTES} at most")
    try:
        rules: Rules = msgspec.json.decode(raw, type=Rules)
    except msgspec.MsgspecError as error:
        raise RulesError(f"rules: {error}") from error
    validate_rules(rules)
    return rules
