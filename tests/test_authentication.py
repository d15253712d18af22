"""Keys: only those in force, only for their workspace, and never passed on."""

from sardinemill.configuration import (
    Configuration,
    ConfigurationChanged,
    ConfigurationConfirmed,
    Key,
    Plan,
    Workspace,
    hash_key,
)
from sardinemill.filters.authentication import (
    MAX_CONFIRMATION_AGE_SECONDS,
    Authentication,
    AvailableKeyPolicy,
    StrictKeyPolicy,
)
from sardinemill.filters.classification import Classification
from sardinemill.messages import Action, CallerRequest, RefusalCode
from sardinemill.positions import ORIGIN, SessionPosition

SECRET = "smk_a-key-in-clear"


def make_configuration(version, keys):
    return Configuration(
        version=version,
        plans={"p": Plan(name="p", rate_per_second=1, burst=1)},
        workspaces={"bees": Workspace(name="bees", plan="p", group="hives")},
        keys=keys,
        groups={},
    )


KEY = Key(key_id="k", workspace="bees", digest=hash_key(SECRET))


def make_step(policy):
    step = Authentication(policy)
    configuration = make_configuration(1, {"k": KEY})
    step.handle(ConfigurationChanged(configuration=configuration), 0.0)
    step.handle(ConfigurationConfirmed(version=1, confirmed_at=0.0), 0.0)
    return step


def ask(step, now, key=SECRET, workspace="bees"):
    request = CallerRequest(
        request_id="1",
        action=Action.STATEMENT,
        key=key,
        sql="select 1",
        session=SessionPosition(workspace, "hives", ORIGIN),
        deadline=10.0,
    )
    (emission,) = step.handle(request, now)
    return emission


def test_key_works_for_its_workspace_until_it_is_withdrawn():
    """Guards against foreign, missing and withdrawn keys, also with an old version."""
    step = make_step(StrictKeyPolicy())
    assert ask(step, 1.0).message.workspace == "bees"
    for key in ("other", None, "", SECRET.upper()):
        assert ask(step, 1.0, key=key).message.code is RefusalCode.UNAUTHORIZED
    assert ask(step, 1.0, workspace="x").message.code is RefusalCode.FORBIDDEN
    withdrawn = make_configuration(2, {})
    step.handle(ConfigurationChanged(configuration=withdrawn), 1.0)
    assert ask(step, 1.0).message.code is RefusalCode.UNAUTHORIZED
    old = make_configuration(1, {"k": KEY})
    step.handle(ConfigurationChanged(configuration=old), 1.0)
    assert ask(step, 1.0).message.code is RefusalCode.UNAUTHORIZED


def test_only_the_strict_policy_refuses_an_old_confirmation():
    """Guards against a key that works for long where its withdrawal is not known."""
    late = MAX_CONFIRMATION_AGE_SECONDS + 0.1
    refused = ask(make_step(StrictKeyPolicy()), late).message
    assert refused.code is RefusalCode.CONFIGURATION_TOO_OLD
    assert refused.outcome.value == "not run"
    assert ask(make_step(AvailableKeyPolicy()), late).outlet == "next"


def test_no_message_after_the_check_holds_the_key():
    """Guards against a caller's key on its way to a peer, an upstream or a log."""
    authenticated = ask(make_step(StrictKeyPolicy()), 1.0).message
    (emission,) = Classification().handle(authenticated, 1.0)
    assert authenticated.caller.key is None
    assert SECRET not in repr(emission.message) + repr(authenticated)
