"""Home data centre of a job, by rendezvous hashing with the same result everywhere."""

from knapweedshed.digests import digest_of, stable_hash

_KEY_HEX_DIGITS = 20
_CONTENT_HEX_DIGITS = 12


def rendezvous_weight(name, *key_parts):
    """Return the rendezvous hashing weight of `name` for a key; the highest wins."""
    return stable_hash(name, *key_parts)


def order_by_preference(names, *key_parts):
    """Return `names` by descending rendezvous hashing weight for `key_parts`."""
    return sorted(names, key=lambda name: (-rendezvous_weight(name, *key_parts), name))


def homes_of(organisation, key):
    """Return the data centres for a key: its home, then the others by preference."""
    return order_by_preference(organisation.data_centres, organisation.name, key)


def job_id_of(home, organisation_name, service_name, key, input_digest):
    """Return the job id of a submission, the same in every entry process.

    The part before the last dot identifies home and key. The last part identifies the
    content, which distinguishes different submissions under the same key.
    """
    key_digest = digest_of(f"{organisation_name}\x1f{key}".encode())[:_KEY_HEX_DIGITS]
    content_digest = digest_of(f"{service_name}\x1f{input_digest}".encode())[
        :_CONTENT_HEX_DIGITS
    ]
    return f"{home}.{key_digest}.{content_digest}"


def home_and_key_of(job_id):
    """Return the part of a job id that identifies its home and key."""
    return job_id.rpartition(".")[0]


def home_of(job_id):
    """Return the home data centre in a job id, or '' if it is not a valid job id."""
    parts = job_id.split(".")
    return parts[0] if len(parts) == 3 else ""
