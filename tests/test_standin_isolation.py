"""Tests that the product doesn't depend on the stand-ins."""

import ast
import pathlib

import pytest

_PRODUCT = pathlib.Path(__file__).parents[1] / "src" / "apricottrestle"
_MODULES = sorted(_PRODUCT.glob("**/*.py"))


def _imported_modules(path: pathlib.Path) -> set[str]:
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            names.add(node.module or "")
    return names


@pytest.mark.parametrize("path", _MODULES, ids=lambda path: path.stem)
def test_product_module_imports_no_stand_in(path: pathlib.Path) -> None:
    """The product would fail where the stand-ins aren't installed."""
    names = _imported_modules(path)
    assert not any(name.startswith("apricottrestle_standins") for name in names)
    assert "apricottrestle_standins" not in path.read_text()
