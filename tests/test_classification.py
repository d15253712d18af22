"""Classification of statements: a possible write is never routed as a read."""

import pytest

from sardinemill.errors import StatementError
from sardinemill.filters.classification import classify_sql
from sardinemill.messages import StatementKind


@pytest.mark.parametrize(
    "sql",
    [
        "select 1",
        "select a from t where b = ? order by a limit 3",
        "with x as (select 1 as a) select max(a) from x",
        "select 1 union select 2",
    ],
)
def test_reads_may_go_to_replicas(sql):
    """Guards against reads that needlessly load the primary."""
    assert classify_sql(sql) is StatementKind.READ


@pytest.mark.parametrize(
    "sql",
    [
        "insert into t values (1)",
        "update t set a = 1",
        "delete from t",
        "create table t (a integer)",
        "with x as (select 1) insert into t select * from x",
        "select a into u from t",
        "select a from t for update",
        "select unknown_function(a) from t",
        "insert into t values (1) returning a",
        "replace into t values (1)",
        "this is not sql at all (",
    ],
)
def test_whatever_may_write_goes_to_the_primary(sql):
    """Guards against a write on a replica, or one that is retried like a read."""
    assert classify_sql(sql) is StatementKind.WRITE


@pytest.mark.parametrize(
    "sql",
    [
        "",
        "-- only a comment",
        "select 1; delete from t",
        "begin",
        "commit",
        "rollback",
        "attach database 'x' as y",
        "pragma foreign_keys = off",
        "savepoint a",
        "release a",
        "vacuum",
    ],
)
def test_control_statements_and_several_at_once_are_refused(sql):
    """Guards against transaction control that bypasses the interface for it."""
    with pytest.raises(StatementError):
        classify_sql(sql)


def test_parser_logs_no_statement(caplog):
    """Guards against a warning of the parser that writes caller data to the log."""
    with caplog.at_level("DEBUG"):
        classify_sql("replace into t values ('a caller wrote this')")
        classify_sql("this is not sql ( 'a caller wrote that'")
    assert caplog.text == ""
