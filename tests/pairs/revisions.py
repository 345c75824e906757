"""Earlier revisions that the present program is compared with, and what may differ."""

from typing import NamedTuple


class Earlier(NamedTuple):
    revision: str
    differs: str


BEFORE_MEMBERSHIP = Earlier("d4ce5de", "nothing on the frames while membership is off: no decision changed")
BEFORE_PACKED = Earlier("567c274", "revisions of the configuration travel as they are stored, one by one")
BEFORE_WORDING = Earlier("dbb747d", "nothing: names and texts alone differ")
