"""Which version of a document is in force, for any order of arrival."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lavendergap.coordination.documents import (
    Accepted,
    Documents,
    FetchDocument,
    Ignored,
    IgnoredReason,
    Problem,
    Source,
)
from lavendergap.state.member import DocumentsDigest, DocumentVersion

SETTINGS = "settings/cedarlight"
INDEX = "index/scheduler"
DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=200)


def check(name: str, body: bytes) -> str | None:
    return "not JSON" if body == b"broken" else None


def build_documents(**versions: int) -> Documents:
    documents = Documents(check=check)
    for name, version in versions.items():
        documents.offer(name, version, b"", Source.PLATFORM)
    return documents


def make_ignored(version: int, reason: IgnoredReason, detail: str = "") -> Ignored:
    return Ignored(name=SETTINGS, version=version, reason=reason, detail=detail)


class TestOffer:
    @pytest.mark.parametrize("source", Source)
    def test_never_reverts_whatever_the_source(self, source):
        # Guards against an edit that is reverted by a stale copy of the platform, by a
        # peer that was paused, or by an old file after a restart.
        documents = Documents(check=check)
        documents.offer(SETTINGS, 7, b"new", Source.PLATFORM)
        assert documents.offer(SETTINGS, 6, b"old", source) == make_ignored(
            6, IgnoredReason.OLDER
        )
        assert documents.offer(SETTINGS, 7, b"other", source) == make_ignored(
            7, IgnoredReason.SAME
        )
        document = documents.get(SETTINGS)
        assert document is not None
        assert document.body == b"new"

    def test_version_0_of_the_file_is_in_force_until_a_newer_one(self):
        documents = Documents(check=check)
        accepted = documents.offer(SETTINGS, 0, b"file", Source.FILE)
        assert accepted == Accepted(name=SETTINGS, version=0)
        assert documents.offer(SETTINGS, 1, b"", Source.PEER) == Accepted(
            name=SETTINGS, version=1
        )

    @DETERMINISTIC
    @given(
        offers=st.lists(
            st.tuples(st.integers(0, 9), st.booleans(), st.sampled_from(Source))
        )
    )
    def test_in_force_is_the_highest_good_version_not_below_a_refused(self, offers):
        documents = Documents(check=check)
        seen = -1
        expected = -1
        for version, good, source in offers:
            documents.offer(SETTINGS, version, b"" if good else b"broken", source)
            if version > seen:
                seen = version
                expected = version if good else expected
            document = documents.get(SETTINGS)
            assert (document.version if document else -1) == expected


class TestRefused:
    def test_a_refused_version_is_recorded_until_a_newer_one(self):
        # A refused version is reported, leaves the older one in force and is not
        # fetched again; a newer version replaces both.
        documents = Documents(check=check)
        documents.offer(SETTINGS, 7, b"good", Source.PLATFORM)
        refused = make_ignored(8, IgnoredReason.REFUSED, "not JSON")
        assert documents.offer(SETTINGS, 8, b"broken", Source.PEER) == refused
        assert documents.offer(SETTINGS, 8, b"broken", Source.PLATFORM) == refused
        assert documents.problems() == (
            Problem(name=SETTINGS, version=8, reason="not JSON", source=Source.PEER),
        )
        theirs = DocumentsDigest(
            fingerprint=1, newest=(DocumentVersion(name=SETTINGS, version=8),)
        )
        assert documents.compare(theirs).wanted == ()
        assert documents.versions() == (DocumentVersion(name=SETTINGS, version=7),)
        documents.offer(SETTINGS, 9, b"good", Source.PEER)
        assert documents.problems() == ()


class TestCompare:
    def test_equal_digests_ask_for_nothing(self):
        ours = build_documents(a=1, b=2)
        theirs = build_documents(b=2, a=1)
        comparison = ours.compare(theirs.digest())
        assert (comparison.wanted, comparison.offered) == ((), ())
        assert comparison.complete

    def test_newer_versions_are_fetched_and_offered(self):
        comparison = build_documents(a=1, b=5, c=3).compare(
            build_documents(a=4, b=2, d=6).digest()
        )
        assert set(comparison.wanted) == {
            FetchDocument(name="a", at_least=4),
            FetchDocument(name="d", at_least=6),
        }
        assert set(comparison.offered) == {
            DocumentVersion(name="b", version=5),
            DocumentVersion(name="c", version=3),
        }

    def test_a_difference_too_old_to_be_listed_is_incomplete(self):
        # Guards against a host that stays behind because its missing version is too old
        # for the truncated digest, whose listed versions all match.
        many = {f"index/{number:02}": 100 + number for number in range(60)}
        theirs = build_documents(**many, old=5)
        ours = build_documents(**many)
        digest = theirs.digest()
        assert digest.truncated
        comparison = ours.compare(digest)
        assert comparison.wanted == ()
        assert not comparison.complete

    def test_only_newer_versions_are_offered_for_a_truncated_digest(self):
        many = {f"index/{number:02}": 100 + number for number in range(60)}
        theirs = build_documents(**many)
        ours = build_documents(**{**many, "index/59": 500, "index/00": 501})
        offered = {entry.version for entry in ours.compare(theirs.digest()).offered}
        assert offered == {500, 501}

    def test_an_empty_truncated_digest_is_incomplete(self):
        empty = DocumentsDigest(fingerprint=9, truncated=True)
        assert not build_documents().compare(empty).complete
