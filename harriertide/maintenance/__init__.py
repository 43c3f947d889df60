"""Maintenance: the brokers agree on when each machine is taken out of service. The package does no I/O.

=================  =============================================================================
orders             an operator's order and its validation
phases             the phases of a machine in an order, and the allowed transitions
commands           the replicated commands, as encoded in the log
state              the replicated state, as stored in a snapshot
agreed_limits      checks of a permit against the replicated state alone
state_machine      applies commands to the state
facts              the leader's view of the brokers, and the planner's settings
confirmations      brokers that have not yet confirmed a permit or a drain
capacity           the available and the required capacity of the nodes
failures           detection of machines that failed without an order
permits            selection of the next machine, and the reasons for a refusal
phase_changes      conditions of the next phase of a step
planner            the commands that the leader proposes
forecast           simulation of an order
send_gate          the machines that a broker may send to under its lease
=================  =============================================================================
"""
