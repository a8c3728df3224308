"""Three statements over the paged protocol with the published Python client, against the toy engine.

Start the toy, and a front with --config examples/config.json --site examples/site.toml, then:

    pip install -r examples/python/requirements.txt
    python examples/python/query.py
"""

import sys

import trino


def run(cursor, statement):
    """Rows of a statement, or what it ended with."""
    try:
        cursor.execute(statement)
        return len(cursor.fetchall()), None
    except trino.exceptions.TrinoQueryError as error:
        return 0, f"{error.error_type} {error.error_name}"
    except trino.exceptions.HttpError as error:
        return 0, f"not taken in, {str(error)[:9]}"


def main():
    port = int(sys.argv[1]) if len(sys.argv) > 1 else 8080
    for name, group, statement in [
        ("10,000 rows", "report", "w " * 10_000),
        ("pushed back", "report", "decline this"),
        ("errored", "change", "fail this"),
    ]:
        connection = trino.dbapi.connect(
            host="127.0.0.1", port=port, user="toy", source=group, http_scheme="http", max_attempts=2
        )
        rows, ended = run(connection.cursor(), statement)
        print(f"{name}: {rows} rows{', ' + ended if ended else ''}")


if __name__ == "__main__":
    main()
