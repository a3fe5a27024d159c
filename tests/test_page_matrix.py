"""Checks that the fault matrix page is current and its proofs are run."""

import pytest

from tests import matrix_page, matrix_table, mutations


def test_page_is_up_to_date() -> None:
    assert matrix_page.PAGE.read_text() == matrix_page.render()


def _all_cells() -> list[tuple[str, matrix_table.Cell]]:
    return [
        entry
        for entries in matrix_page.cells_by_key().values()
        for entry in entries
    ]


def test_cells_use_known_names() -> None:
    for _, cell in _all_cells():
        assert cell.guarantee in matrix_table.GUARANTEES, cell
        assert cell.fault in matrix_table.FAULTS, cell
        assert cell.step in matrix_page.steps_of(cell.guarantee), cell
        assert cell.evidence, cell


def test_each_proved_cell_is_a_parameter_of_its_test() -> None:
    for module in matrix_page.matrix_modules():
        for cell in module.CELLS:
            if cell.state != "proved":
                continue
            function = getattr(module, cell.evidence)
            ids = {
                param.id
                for mark in function.pytestmark
                if mark.name == "parametrize"
                for param in mark.args[1]
                if hasattr(param, "id")
            }
            assert matrix_table.cell_id(cell) in ids, cell


@pytest.mark.parametrize("mutation", mutations.MUTATIONS)
def test_mutation_applies_to_the_source(mutation: mutations.Mutation) -> None:
    path = matrix_page.ROOT / "src" / "apricottrestle" / mutation.path
    assert path.read_text().count(mutation.old) == 1
