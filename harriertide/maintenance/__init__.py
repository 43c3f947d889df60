"""Maintenance: machines are taken out of service for work in an order that the brokers agree on. Pure.

=================  =============================================================================
orders             an operator's order, and what is checked of it
phases             the phases of a machine under an order, and which may follow which
commands           the commands that members agree on, as the log carries them
state              the agreed state, as a snapshot holds it
agreed_limits      may a machine be taken out, by what is agreed on alone
state_machine      applies commands to the state
facts              what the leader has heard from brokers, and the planner's settings
confirmations      which brokers have yet to confirm a permit or a drain
capacity           what the nodes can serve, and what they have to
failures           which machines are out of service that nobody planned to take out
permits            which machine is taken out next, and why one is not
phase_changes      when a machine goes on to its next phase
planner            the commands that the leader proposes
forecast           what would come of an order
send_gate          which machines a broker may send to, by its own lease
=================  =============================================================================
"""
