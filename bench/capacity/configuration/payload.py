"""What a change of the trials carries."""

import string
from random import Random

ALPHABET = string.ascii_lowercase + string.digits


def note(random: Random, size: int) -> str:
    """So many drawn letters and digits: one letter again and again would compress to nothing."""
    return "".join(random.choices(ALPHABET, k=size))
