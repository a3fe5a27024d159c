"""Release notes for tests."""

from apricottrestle import config_state, messages, release_fold

FIRST_NOTE = """
id = "first"
base = 0
[models.added.m]
version = "v1"
[versions]
added = ["m@v1"]
[priorities.added.urgent]
floor = 0.5
time_limit_s = 60
[teams.added.orders]
key_digests = ["{digest}"]
weight = 2
priorities = ["urgent"]
[services.added.ledger]
not_repeatable = ["POST /entries"]
""".format(digest="a" * 64)


def share_note(note_id: str, base: int, share: float = 2.0) -> str:
    """Returns a note that changes the share of model m."""
    return (
        f'id = "{note_id}"\nbase = {base}\n'
        f"[models.changed.m]\nshare = {share}\n"
    )


def fold_all(
    records: list[messages.NoteRecord],
) -> config_state.ConfigState:
    """Returns the state that every process must reach from the records."""
    state = config_state.EMPTY
    for record in records:
        state = release_fold.fold_note(state, record).state
    return state
