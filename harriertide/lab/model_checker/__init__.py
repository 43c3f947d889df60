"""An explicit-state model checker: every order of events that three Raft members can meet, within bounds.

`model_state` is one state, `actions` what can happen in it, `transitions` what state that leads to,
`invariants` what must hold there, `search` goes through the states breadth first, and `scenarios` says from
where and within which bounds.
"""
