"""Tests of `benchmarks.check_proofs`."""

from __future__ import annotations

import pytest

from benchmarks import check_proofs


# A mutation whose text has changed in the source no longer disables anything.
@pytest.mark.parametrize(
    'mutation', check_proofs.MUTATIONS, ids=lambda item: item.mechanism
)
def test_mutation_quotes_the_current_source(
    mutation: check_proofs.Mutation,
) -> None:
    assert check_proofs.quotes_source(mutation)
