"""Guards the border between the product and its stand-ins."""

import ast
import pathlib

import pytest

_PRODUCT = pathlib.Path(__file__).parents[1] / "src" / "apricottrestle"
_MODULES = sorted(_PRODUCT.glob("**/*.py"))


def _imports(path: pathlib.Path) -> set[str]:
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            names.add(node.module or "")
    return names


@pytest.mark.parametrize("path", _MODULES, ids=lambda path: path.stem)
def test_product_module_imports_no_stand_in(path: pathlib.Path) -> None:
    """A product that needs its stand-ins would fail where they aren't."""
    names = _imports(path)
    assert not any(name.startswith("apricottrestle_standins") for name in names)
    assert "apricottrestle_standins" not in path.read_text()
