"""A part of a prompt crashes workers. The prompts are those of long sessions, so that the part stands behind 66 others. Exits with 1 if more
than three requests with the part reach workers later than `stableMs` after the fifth crash, with 0 if not, with 2 if the case couldn't run."""

import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
import crashing_part  # noqa: E402

RECORD = FOLDER / "record.txt"  # What was sent, answered and run.
IS_IN_TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # With TROUBLE=0 no worker crashes.

PARTS_BEFORE = int(os.environ.get("PARTS_BEFORE", "66"))

sys.exit(crashing_part.main(RECORD, crashing_part.Options(workers=9, parts_before=PARTS_BEFORE, sound_per_second=60, crashing_per_second=1,
    crashing_from=8, length=45, first_event=0.02, events=20, event_pause=0.02, crash_after=0.05, down=3), IS_IN_TROUBLE))
