# `make demo` shows the program at work, `make check` is lint, types and tests; both need no more than python3.
BIN := .venv/bin
STAMP := .venv/.installed

.PHONY: demo check

demo: $(STAMP)
	$(BIN)/python -m ringledge lab demo

check: $(STAMP)
	$(BIN)/ruff check . && $(BIN)/ruff format --check . && $(BIN)/mypy && $(BIN)/python -m pytest -n 4

$(STAMP): requirements.txt requirements-lab.txt requirements-dev.txt
	test -d .venv || python3 -m venv .venv
	$(BIN)/pip -q install -r requirements.txt -r requirements-lab.txt -r requirements-dev.txt
	touch $(STAMP)
