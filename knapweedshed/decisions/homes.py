"""Which data centre a job belongs to, computed alike by every process."""

from knapweedshed.digests import digest_of, stable_hash

_KEY_DIGITS = 20
_CONTENT_DIGITS = 12


def rank(name, *words):
    """Return names' weight for rendezvous hashing; the highest wins."""
    return stable_hash(name, *words)


def preferred(names, *words):
    """Return `names` in order of preference for `words`."""
    return sorted(names, key=lambda name: (-rank(name, *words), name))


def homes_of(organisation, key):
    """Return the data centres for a key: its home, then the others in order."""
    return preferred(organisation.data_centres, organisation.name, key)


def job_id_of(home, organisation_name, service_name, key, input_digest):
    """Return the id that any entry gives to this submission.

    The part before the last dot names home and key; the last part names the content,
    so that two different submissions under one key are told apart.
    """
    who = digest_of(f"{organisation_name}\x1f{key}".encode())[:_KEY_DIGITS]
    content = digest_of(f"{service_name}\x1f{input_digest}".encode())[:_CONTENT_DIGITS]
    return f"{home}.{who}.{content}"


def key_of(job_id):
    """Return the part of a job id that names home and key."""
    return job_id.rpartition(".")[0]


def home_of(job_id):
    """Return the data centre named in a job id, or '' where it is no job id."""
    parts = job_id.split(".")
    return parts[0] if len(parts) == 3 else ""
